/**
 * Queue of jobs whose progress is not stored yet, in the order of their first unsaved change.
 *
 * An end may be acknowledged to its worker once its change is saved.
 */
package dev.bronzeshore.scheduler

/** Jobs to store, and the number up to which all changes are saved once these jobs are stored. */
internal class ChangeBatch(val jobs: List<TrackedJob>, val savedUpTo: Long)

internal class UnsavedChanges {
    private val dirty = LinkedHashMap<TrackedJob, Long>()
    private var lastChange = 0L

    val isEmpty: Boolean get() = dirty.isEmpty()

    /** Records that [job] has changed; returns the number of the change. */
    fun add(job: TrackedJob): Long {
        lastChange++
        dirty.putIfAbsent(job, lastChange)
        return lastChange
    }

    /** Number of the last change; an end that changes nothing is saved along with it. */
    fun lastNumber(): Long = lastChange

    /** Removes and returns the next jobs to store; a job that changes afterwards is added again. */
    fun takeBatch(limit: Int): ChangeBatch {
        val jobs = dirty.keys.take(limit)
        jobs.forEach { dirty.remove(it) }
        val savedUpTo = dirty.values.firstOrNull()?.let { it - 1 } ?: lastChange
        return ChangeBatch(jobs, savedUpTo)
    }

    /** Puts a batch that was not stored back at the head of the queue. */
    fun requeue(batch: ChangeBatch) {
        val later = LinkedHashMap(dirty)
        dirty.clear()
        batch.jobs.forEach { dirty[it] = 0 }
        later.forEach { (job, change) -> dirty.putIfAbsent(job, change) }
    }
}
