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

    /** Rows that the store does not take, until a later form of them is stored. */
    private val held = LinkedHashSet<UnsavedRow>()

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
    fun isSaved(row: UnsavedRow): Boolean = row !in dirty && row !in inFlight && row !in held

    /** True if all rows of the job are stored as they are. */
    fun areSaved(jobId: String): Boolean = (dirty.keys + inFlight + held).none { it.jobId == jobId }

    /** Number of the last change; an end that changes nothing is saved along with it. */
    fun lastNumber(): Long = lastChange

    /**
     * Removes and returns the next rows, as many as [size] has room for and at most [maxRows]; a row that changes later
     * is added again. Rows for which [mayWrite] does not hold are left out and hold up no others.
     */
    fun takeBatch(
        size: TransactionSize,
        maxRows: Int = Int.MAX_VALUE,
        mayWrite: (RowWrite) -> Boolean = { true },
    ): ChangeBatch {
        val rows = ArrayList<UnsavedRow>()
        val writes = ArrayList<RowWrite>()
        val leftOut = ArrayList<UnsavedRow>()
        for (row in dirty.keys) {
            val write = row.toWrite()
            if (mayWrite(write)) {
                if (rows.size >= maxRows || !size.add(write)) break
                rows += row
                writes += write
            } else {
                leftOut += row
            }
        }
        (rows + leftOut).forEach { dirty.remove(it) }
        held += leftOut
        inFlight = rows
        val savedUpTo = dirty.values.firstOrNull()?.let { it - 1 } ?: lastChange
        return ChangeBatch(rows, writes, savedUpTo)
    }

    /** The last batch is stored. */
    fun recordSaved() {
        held -= inFlight.toSet()
        inFlight = emptyList()
    }

    /** True if a row of the job is left out, so that ends of its runs must not be acknowledged. */
    fun isHeld(jobId: String): Boolean = held.any { it.jobId == jobId }

    /** Adds the rows that were left out again. */
    fun retryHeld() = held.forEach { add(it) }

    /** Puts a batch that was not stored back at the head of the queue. */
    fun requeue(batch: ChangeBatch) {
        inFlight = emptyList()
        val later = LinkedHashMap(dirty)
        dirty.clear()
        batch.rows.forEach { dirty[it] = 0 }
        later.forEach { (row, change) -> dirty.putIfAbsent(row, change) }
    }
}
