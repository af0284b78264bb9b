/** The rows of a job's progress, which are made when the job is first stored in parts. Not thread-safe. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RowId

internal class ProgressRows(private val job: TrackedJob) {
    private val layout = ProgressLayout(job.accepted)
    private val parts = HashMap<RowId, ProgressPartRow>()

    val hasParts: Boolean get() = layout.hasParts

    /** Occurrences of the parts that former leaders stored. */
    private val formerParts = HashMap<RowId, Int>()

    /** Rows of parts that are stored or may be. */
    val partIds: Set<RowId> get() = parts.keys + formerParts.keys

    /** Notes a row of a part that a former leader stored. */
    fun noteFormer(id: RowId, occurrence: Int) {
        formerParts[id] = occurrence
    }

    /** Stored parts that are not needed, as their occurrence is done; [isSaved] tells whether a row is up to date. */
    fun obsoleteParts(isSaved: (UnsavedRow) -> Boolean): List<RowId> {
        if (partIds.isEmpty() || !isSaved(job)) return emptyList()
        val written = parts.filterValues { job.occurrences.isDone(it.occurrence) && isSaved(it) }.keys
        return written.toList() + formerParts.filter { job.occurrences.isDone(it.value) && it.key !in parts }.keys
    }

    /** The rows that change with [task]: what members of a gang have in common may be in each of them. */
    fun of(task: TrackedTask): List<UnsavedRow> = when {
        !hasParts || !job.isOpen -> listOf(job)
        task.step.description.isGang -> partsOf(task.step)
        else -> listOf(part(task.step, layout.rangeOf(task.step, task.index)))
    }

    /** All rows of the parts of open occurrences. */
    fun allParts(): List<UnsavedRow> = job.openSteps.flatMap { partsOf(it) }

    /** Forgets rows that have been deleted. */
    fun forget(ids: Collection<RowId>) {
        formerParts -= ids.toSet()
        ids.forEach { parts.remove(it) }
    }

    private fun partsOf(step: TrackedStep) = layout.rangesOf(step).map { part(step, it) }

    private fun part(step: TrackedStep, range: IntRange): ProgressPartRow {
        val row = ProgressPartRow(step, range)
        return parts.getOrPut(row.id) { row }
    }
}
