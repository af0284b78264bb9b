/**
 * The occurrences of a job.
 *
 * Only open occurrences are tracked with their steps and tasks. Those that are not due yet and those whose tasks are
 * all done are known by their numbers, so that the memory for a job depends on what is due or running and not on how
 * often it repeats. A job without a schedule has one occurrence, which is open from the start.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.JobSchedule
import dev.bronzeshore.core.cluster.OccurrenceRange
import java.util.TreeMap

internal class JobOccurrences(private val job: TrackedJob) {
    private val schedule: JobSchedule? = job.accepted.description.schedule
    private val count: Int = job.accepted.description.occurrences
    private val open = TreeMap<Int, List<TrackedStep>>()
    private val done = OccurrenceSet()

    /** Occurrences before this one, in the order of their due times, have been opened. */
    private var nextPosition = 0

    /** Steps of the open occurrences, in the order of the occurrences. */
    var openSteps: List<TrackedStep> = emptyList()
        private set

    val openCount: Int get() = open.size

    val doneRanges: List<OccurrenceRange> get() = done.ranges

    val hasDone: Boolean get() = done.count > 0

    init {
        if (schedule == null) open(0)
    }

    /** Wall-clock time at which the next occurrence is due that has not been opened; null if there is none. */
    fun nextDueAtMs(): Long? = nextUnopened()?.let { dueAtMs(it) }

    /** Wall-clock time at which an occurrence is due, or null if it is due at once. */
    fun dueAtMs(occurrence: Int): Long? = schedule?.dueAtMs(occurrence)

    /** Tracks the steps of the next occurrence. */
    fun openNext() {
        nextUnopened()?.let { open(it) }
    }

    /** How many occurrences are due at the wall-clock time [timeMs] and neither open nor done; at most [limit]. */
    fun unopenedDueCount(timeMs: Long, limit: Int): Int = (nextPosition until count).asSequence()
        .map { atPosition(it) }
        .filter { it !in open && it !in done }
        .takeWhile { (dueAtMs(it) ?: Long.MIN_VALUE) <= timeMs }
        .take(limit)
        .count()

    /** The steps of an occurrence that is not done, which are tracked from then on; null if there is no such one. */
    fun stepsOf(occurrence: Int): List<TrackedStep>? {
        if (occurrence !in 0 until count || occurrence in done) return null
        return open[occurrence] ?: open(occurrence)
    }

    /** All tasks of the occurrence are done. */
    fun isComplete(occurrence: Int): Boolean = occurrence in done || open[occurrence]?.all { it.isDone } ?: false

    fun isDone(occurrence: Int): Boolean = occurrence in done

    /** True if no occurrence but [occurrence] is left to do. */
    fun isLast(occurrence: Int): Boolean = done.count == count - 1 && occurrence !in done

    /** Replaces the steps of an occurrence by its number. */
    fun markDone(occurrence: Int) {
        done.add(occurrence)
        if (open.remove(occurrence) != null) updateOpenSteps()
    }

    /** Restores the numbers of occurrences that were done in an earlier term. */
    fun restoreDone(range: OccurrenceRange) {
        for (occurrence in range.first.coerceAtLeast(0)..range.last.coerceAtMost(count - 1)) markDone(occurrence)
    }

    /** Stops tracking all steps, after the end of the job. */
    fun release() {
        open.clear()
        nextPosition = count
        updateOpenSteps()
    }

    private fun open(occurrence: Int): List<TrackedStep> {
        val steps = job.accepted.description.steps.indices.map { TrackedStep(job, occurrence, it) }
        open[occurrence] = steps
        updateOpenSteps()
        return steps
    }

    private fun updateOpenSteps() {
        openSteps = open.values.flatten()
    }

    private fun nextUnopened(): Int? {
        while (nextPosition < count) {
            val occurrence = atPosition(nextPosition)
            if (occurrence !in open && occurrence !in done) return occurrence
            nextPosition++
        }
        return null
    }

    /** With a negative period, later occurrences are due earlier. */
    private fun atPosition(position: Int): Int = if ((schedule?.periodMs ?: 0) < 0) count - 1 - position else position
}

private val MIN_TIME_MS = Long.MIN_VALUE.toBigInteger()
private val MAX_TIME_MS = Long.MAX_VALUE.toBigInteger()

/** Callers may ask for times that a Long cannot hold. */
private fun JobSchedule.dueAtMs(occurrence: Int): Long {
    val dueAtMs = firstDueMs.toBigInteger() + periodMs.toBigInteger() * occurrence.toBigInteger()
    return dueAtMs.coerceIn(MIN_TIME_MS, MAX_TIME_MS).toLong()
}
