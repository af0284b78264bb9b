/**
 * Queue of jobs whose progress is not stored yet, in the order of their first unsaved change.
 *
 * An end may be acknowledged to its worker once its change is saved.
 */
package dev.bronzeshore.scheduler

/** Jobs to store, and the number up to which all changes are saved once these jobs are stored. */
internal class ChangeBatch(val jobs: List<TrackedJob>, val savedUpTo: Long)

internal class UnsavedChanges {
    private val unsaved = LinkedHashMap<TrackedJob, Long>()
    private var lastChangeNumber = 0L

    val isEmpty: Boolean get() = unsaved.isEmpty()

    /** Records that [job] has changed; returns the number of the change. */
    fun add(job: TrackedJob): Long {
        lastChangeNumber++
        unsaved.putIfAbsent(job, lastChangeNumber)
        return lastChangeNumber
    }

    /** Number of the last change; an end that changes nothing is saved along with it. */
    fun lastNumber(): Long = lastChangeNumber

    /** Removes and returns the next jobs to store; a job that changes afterwards is added again. */
    fun takeBatch(limit: Int): ChangeBatch {
        val jobs = unsaved.keys.take(limit)
        jobs.forEach { unsaved.remove(it) }
        val savedUpTo = unsaved.values.firstOrNull()?.let { it - 1 } ?: lastChangeNumber
        return ChangeBatch(jobs, savedUpTo)
    }

    /** Puts a batch that was not stored back at the head of the queue. */
    fun requeue(batch: ChangeBatch) {
        val later = LinkedHashMap(unsaved)
        unsaved.clear()
        batch.jobs.forEach { unsaved[it] = 0 }
        later.forEach { (job, change) -> unsaved.putIfAbsent(job, change) }
    }
}
