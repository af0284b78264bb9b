/**
 * Queue of rows whose state is not stored yet, in the order of their first unsaved change.
 *
 * An end may be acknowledged to its worker once its change is saved.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.TransactionSize

/** Rows to store as [writes], and the number up to which all changes are saved once these are stored. */
internal class ChangeBatch(val rows: List<UnsavedRow>, val writes: List<RowWrite>, val savedUpTo: Long) {
    val jobs: List<TrackedJob> get() = rows.filterIsInstance<TrackedJob>()
}

internal class UnsavedChanges {
    private val dirty = LinkedHashMap<UnsavedRow, Long>()
    private var lastChange = 0L

    /** The rows of the last batch, until it is stored or put back. */
    private var inFlight: List<UnsavedRow> = emptyList()

    val isEmpty: Boolean get() = dirty.isEmpty()

    /** Records that [row] has changed; returns the number of the change. */
    fun add(row: UnsavedRow): Long {
        lastChange++
        dirty.putIfAbsent(row, lastChange)
        return lastChange
    }

    /** True if [row] has no change that is not stored. */
    fun isSaved(row: UnsavedRow): Boolean = row !in dirty && row !in inFlight

    /** True if all rows of the job are stored as they are. */
    fun areSaved(jobId: String): Boolean = dirty.keys.none { it.jobId == jobId } && inFlight.none { it.jobId == jobId }

    /** Number of the last change; an end that changes nothing is saved along with it. */
    fun lastNumber(): Long = lastChange

    /** Removes and returns the next rows, as many as [size] has room for; a row that changes later is added again. */
    fun takeBatch(size: TransactionSize): ChangeBatch {
        val rows = ArrayList<UnsavedRow>()
        val writes = ArrayList<RowWrite>()
        for (row in dirty.keys) {
            val write = row.toWrite()
            if (!size.add(write)) break
            rows += row
            writes += write
        }
        rows.forEach { dirty.remove(it) }
        inFlight = rows
        val savedUpTo = dirty.values.firstOrNull()?.let { it - 1 } ?: lastChange
        return ChangeBatch(rows, writes, savedUpTo)
    }

    /** The last batch is stored. */
    fun recordSaved() {
        inFlight = emptyList()
    }

    /** Puts a batch that was not stored back at the head of the queue. */
    fun requeue(batch: ChangeBatch) {
        inFlight = emptyList()
        val later = LinkedHashMap(dirty)
        dirty.clear()
        batch.rows.forEach { dirty[it] = 0 }
        later.forEach { (row, change) -> dirty.putIfAbsent(row, change) }
    }
}
