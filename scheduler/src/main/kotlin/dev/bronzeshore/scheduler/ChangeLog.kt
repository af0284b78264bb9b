/**
 * Jobs whose progress is not stored yet, in the order of their first unsaved change.
 *
 * An end may be acknowledged to its worker once its change is saved.
 */
package dev.bronzeshore.scheduler

/** Jobs to store, and the number of the change up to which everything is saved once they are stored. */
internal class ChangeBatch(val jobs: List<TrackedJob>, val savedUpTo: Long)

internal class ChangeLog {
    private val dirty = LinkedHashMap<TrackedJob, Long>()
    private var lastChange = 0L

    val isEmpty: Boolean get() = dirty.isEmpty()

    /** Notes that [job] has changed; returns the number of the change. */
    fun note(job: TrackedJob): Long {
        lastChange++
        dirty.putIfAbsent(job, lastChange)
        return lastChange
    }

    /** Number of the last change, for an end that changes nothing. */
    fun current(): Long = lastChange

    /** Takes the next jobs to store out of the log; a job that changes from now on is noted anew. */
    fun takeBatch(limit: Int): ChangeBatch {
        val jobs = dirty.keys.take(limit)
        jobs.forEach { dirty.remove(it) }
        val savedUpTo = dirty.values.firstOrNull()?.let { it - 1 } ?: lastChange
        return ChangeBatch(jobs, savedUpTo)
    }

    /** The batch was not stored: its jobs come first again. */
    fun putBack(batch: ChangeBatch) {
        val later = LinkedHashMap(dirty)
        dirty.clear()
        batch.jobs.forEach { dirty[it] = 0 }
        later.forEach { (job, change) -> dirty.putIfAbsent(job, change) }
    }
}
