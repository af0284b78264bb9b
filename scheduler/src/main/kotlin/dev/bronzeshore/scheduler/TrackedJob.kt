/** The leader's state of a job. Not thread-safe: confined to the control thread. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.ProgressPart
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StepName
import dev.bronzeshore.core.cluster.StepProgress
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.encodeRow
import dev.bronzeshore.core.cluster.isEnded

internal class TrackedJob(
    accepted: AcceptedJob,
    /** Monotonic time that corresponds to the acceptance of the job. */
    val acceptedAtMs: Long,
    /** Monotonic time at which this leader learned of the job. */
    val knownAtMs: Long = acceptedAtMs,
    storedVersion: Long = 0,
) : UnsavedRow {
    /** The job as stored; without its payload once its end is stored. */
    var accepted: AcceptedJob = accepted
        private set

    /** Version of the stored row, the first one if there are two; 0 while the job is only announced. */
    var storedVersion: Long = storedVersion
        private set

    /** Notes a stored row of the job, which may also be stored in its alternate partition. */
    fun noteStored(version: Long) {
        if (version > 0 && (storedVersion == 0L || version < storedVersion)) storedVersion = version
    }

    val id: String get() = accepted.jobId
    val terms get() = accepted.terms
    var phase: JobPhase = JobPhase.PENDING

    /** Its account submitted the job beyond the rate that it may rely on. */
    var isBeyondRate: Boolean = false
    var endedAtMs: Long? = null

    /** Last stored phase, which callers may see: an end is shown only once it is stored. */
    var savedPhase: JobPhase = JobPhase.PENDING
        private set

    /** How long ago the job had been accepted when this leader learned of it. */
    val ageWhenKnownMs: Long get() = (knownAtMs - acceptedAtMs).coerceAtLeast(0)

    val occurrences = JobOccurrences(this)

    /** Steps of the open occurrences, in the order of the occurrences. */
    val openSteps: List<TrackedStep> get() = occurrences.openSteps

    val isOpen: Boolean get() = phase == JobPhase.PENDING || phase == JobPhase.RUNNING

    /** For each step, the estimated time of the critical path from its start to the end of the job. */
    private val criticalPathFromMs: LongArray = criticalPaths()

    /** Latest monotonic time at which the job ends within its objective. */
    val objectiveAtMs: Long = acceptedAtMs + (terms.stretch * criticalPathMs).toLong() + terms.graceMs

    /** The critical path of the whole job, with one advice call for each step. */
    private val criticalPathMs: Long get() = criticalPathFromMs.max()

    /** A step of an occurrence that is not done. */
    fun step(occurrence: Int, number: Int): TrackedStep? = occurrences.stepsOf(occurrence)?.getOrNull(number)

    /** The task of that name; a copy that is done if its occurrence is done or the job has ended. */
    fun task(name: TaskName): TrackedTask? {
        val isNamed = name.step in accepted.description.steps.indices &&
            name.occurrence in 0 until accepted.description.occurrences
        if (!isNamed) return null
        val open = if (isOpen) step(name.occurrence, name.step) else null
        val step = open ?: TrackedStep(this, name.occurrence, name.step).also { it.markAllDone() }
        return step.tasks.getOrNull(name.index)
    }

    val hasStarted: Boolean get() = occurrences.hasDone || openSteps.any { it.hasStarted }

    /** Estimated time from the start of a step to the end of the job. */
    fun remainingCriticalPathMs(step: TrackedStep): Long = criticalPathFromMs[step.number]

    fun toProgress(): JobProgress = if (isOpen) {
        val steps = if (progressRows.hasParts) emptyList() else openSteps.mapNotNull { it.toProgress() }
        JobProgress(phase, steps, doneOccurrences = occurrences.doneRanges)
    } else {
        JobProgress(phase, endedAtMs = endedAtMs)
    }

    /** The rows of the progress: this one, and those of the parts if there are any. */
    val progressRows = ProgressRows(this)
    override val jobId: String get() = id

    override fun toWrite() = RowWrite(Tables.progressRow(id), encodeRow(JobProgress.serializer(), toProgress()))

    /** Notes that [phase] is stored; nothing but the end of an ended job is needed then. */
    fun noteSaved(phase: JobPhase) {
        savedPhase = phase
        if (!phase.isEnded) return
        occurrences.release()
        accepted = accepted.copy(description = accepted.description.copy(payload = ""))
    }

    /**
     * A former leader stored the progress of tasks in the job's row, which now belongs into parts. The row may be
     * written without it only along with the last part or later.
     */
    var isStoredWithoutParts: Boolean = false
        private set

    /** Restores what a former leader stored; each of [parts] replaces what [progress] says of its tasks. */
    fun restore(progress: JobProgress?, parts: List<ProgressPart>) {
        if (progress != null) {
            phase = progress.phase
            savedPhase = progress.phase
            endedAtMs = progress.endedAtMs
            progress.doneOccurrences.forEach { occurrences.restoreDone(it) }
        }
        val rangesByStep = parts.groupBy({ it.progress.name }) { it.first..it.last }
        for (stored in progress?.steps.orEmpty()) {
            val inParts = rangesByStep[stored.name].orEmpty()
            step(stored.occurrence, stored.step)?.restore(stored) { index -> inParts.any { index in it } }
        }
        for (part in parts) step(part.progress.occurrence, part.progress.step)?.restore(part.progress)
        openSteps.map { it.occurrence }.distinct().filter { occurrences.isComplete(it) }
            .forEach { occurrences.markDone(it) }
        isStoredWithoutParts = progressRows.hasParts && progress?.steps?.isNotEmpty() ?: false
    }

    private val StepProgress.name get() = StepName(id, occurrence, step)

    private fun criticalPaths(): LongArray {
        val description = accepted.description.steps
        val advice = terms.advice
        val result = LongArray(description.size)
        for (number in description.indices.reversed()) {
            val following = description.indices.filter { number in description[it].after }
            val adviceMs = advice?.let { it.decisionMs + it.perWorkerMs * ADVICE_WORKERS_IN_OBJECTIVE } ?: 0.0
            result[number] =
                description[number].estimateMs + adviceMs.toLong() + (following.maxOfOrNull { result[it] } ?: 0)
        }
        return result
    }

    private companion object {
        /** The platform's objective includes one advice call about this many workers for each step. */
        const val ADVICE_WORKERS_IN_OBJECTIVE = 30
    }
}
