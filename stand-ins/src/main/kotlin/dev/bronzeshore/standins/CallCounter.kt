/** Counts the calls to one server. */
package dev.bronzeshore.standins

import java.util.concurrent.atomic.LongAdder

/** Thread-safe. */
internal class CallCounter {
    private val reads = LongAdder()
    private val writes = LongAdder()
    private val conflicts = LongAdder()
    private val rowsWritten = LongAdder()

    fun countRead() = reads.increment()

    fun countWrite() = writes.increment()

    fun countConflict() = conflicts.increment()

    fun countRows(rows: Int) = rowsWritten.add(rows.toLong())

    fun counts(): CallCounts = CallCounts(reads.sum(), writes.sum(), conflicts.sum(), rowsWritten.sum())
}
