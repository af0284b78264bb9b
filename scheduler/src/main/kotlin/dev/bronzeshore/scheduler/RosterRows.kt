/**
 * The stored roster, distributed over rows of limited size.
 *
 * A worker stays in the row that it is given first, so that a change rewrites one row.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RosterWorker
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** Bounds a row to 64 KB: an entry has three names of up to 260 bytes, and the jobs that it holds. */
internal const val MAX_WORKERS_IN_ROSTER_ROW: Int = 14

/** Jobs in an entry; the entry of a worker with more says that tasks of any job may be there. */
internal const val MAX_JOBS_IN_ROSTER: Int = 160

internal class RosterRows {
    private val numbers = HashMap<WorkerIncarnation, Int>()
    private val sizes = HashMap<Int, Int>()

    /** The stored workers of each row. */
    private val saved = HashMap<Int, Set<RosterWorker>>()

    /**
     * Continues from the rows that a former leader stored, by their numbers; null is a row that cannot be decoded. The
     * surplus of a row with more workers, as earlier releases wrote, moves to others.
     */
    fun adopt(stored: Map<Int, List<RosterWorker>?>) {
        for ((number, workers) in stored) {
            saved[number] = workers?.toSet() ?: UNKNOWN
            workers.orEmpty().take(MAX_WORKERS_IN_ROSTER_ROW).forEach { assign(it.incarnation, number) }
        }
    }

    operator fun contains(worker: RosterWorker): Boolean {
        val number = numbers[worker.incarnation] ?: return false
        return worker in saved[number].orEmpty()
    }

    /** The rows that have to be written so that the roster consists of [wanted]; those with additions come first. */
    fun changes(wanted: Collection<RosterWorker>): List<RosterRow> {
        release(wanted)
        val byRow = wanted.groupBy { numbers[it.incarnation] ?: assign(it.incarnation, firstWithRoom()) }
        return (byRow.keys + saved.keys)
            .map { RosterRow(it, byRow[it].orEmpty().toSet()) }
            .filter { it.workers != saved[it.number] }
            .sortedBy { row -> saved[row.number].orEmpty().containsAll(row.workers) }
    }

    fun recordSaved(rows: List<RosterRow>) = rows.forEach { saved[it.number] = it.workers }

    /** The store may hold [rows] or their former content. */
    fun recordUnknown(rows: List<RosterRow>) = rows.forEach { saved[it.number] = UNKNOWN }

    private fun release(wanted: Collection<RosterWorker>) {
        val kept = wanted.mapTo(HashSet()) { it.incarnation }
        val released = numbers.keys.filterNot { it in kept }
        for (incarnation in released) numbers.remove(incarnation)?.let { sizes.merge(it, -1, Int::plus) }
    }

    private fun assign(incarnation: WorkerIncarnation, number: Int): Int {
        numbers[incarnation] = number
        sizes.merge(number, 1, Int::plus)
        return number
    }

    private fun firstWithRoom(): Int =
        generateSequence(0) { it + 1 }.first { (sizes[it] ?: 0) < MAX_WORKERS_IN_ROSTER_ROW }

    private companion object {
        /** Equals no content of a row, so that the row is written again. */
        val UNKNOWN = setOf(RosterWorker("", 0, "", ""))
    }
}

private val RosterWorker.incarnation get() = WorkerIncarnation(workerId, startedAtMs)

/** The workers of all rows that could be decoded; one that several rows name may hold what any of them says. */
internal fun Collection<List<RosterWorker>?>.merged(): List<RosterWorker> =
    filterNotNull().flatten().groupBy { it.incarnation }.values.map { entries -> entries.reduce(::merge) }

private fun merge(one: RosterWorker, other: RosterWorker): RosterWorker {
    val heldJobs = one.heldJobs?.let { held -> other.heldJobs?.plus(held) }
    return one.copy(heldJobs = heldJobs, trialJob = one.trialJob ?: other.trialJob)
}
