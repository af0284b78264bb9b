/**
 * Rows that the store refuses for what they hold, so that the others are written without them.
 *
 * A refused transaction does not tell which of its rows is at fault. The next one has half as many, until a single one
 * is refused: it is left out for a while, or until it has become smaller. Confined to the control thread.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowWrite

/** Time after which a refused row is tried again. */
private const val REFUSAL_MS = 30_000L

internal class RowRefusals(
    /** Called when a row is refused for the first time. */
    private val onRefused: (RowWrite) -> Unit,
) {
    private class Refusal(val bytes: Int, val retryAtMs: Long)

    private val refusals = HashMap<RowId, Refusal>()
    private val reported = HashSet<RowId>()

    /** Most rows that the next transaction may have beside those of each one. */
    var maxRows: Int = Int.MAX_VALUE
        private set

    /** True if the store may take the row. */
    fun mayWrite(write: RowWrite): Boolean {
        if (write.value.size > MAX_ROW_BYTES) report(write)
        return write.value.size <= (refusals[write.id]?.let { it.bytes - 1 } ?: MAX_ROW_BYTES)
    }

    /** The store has refused a transaction with [writes]; true if the next one can do better. */
    fun record(writes: List<RowWrite>, nowMs: Long): Boolean {
        if (writes.size > 1) {
            maxRows = writes.size / 2
            return true
        }
        val refused = writes.singleOrNull() ?: return false
        refusals[refused.id] = Refusal(refused.value.size, nowMs + REFUSAL_MS)
        report(refused)
        maxRows = Int.MAX_VALUE
        return true
    }

    /** The store has taken a transaction; the next one may be larger. */
    fun recordApplied() {
        if (maxRows < Int.MAX_VALUE / 2) maxRows *= 2
    }

    /** Forgets refusals that are old; true if there was one. */
    fun expire(nowMs: Long): Boolean = refusals.values.removeIf { nowMs >= it.retryAtMs }

    private fun report(write: RowWrite) {
        if (reported.add(write.id)) onRefused(write)
    }
}
