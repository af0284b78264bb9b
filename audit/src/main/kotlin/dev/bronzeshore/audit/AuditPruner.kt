/** Deletes audit rows whose retention has ended. */
package dev.bronzeshore.audit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.AUDIT_PREFIX
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.RowRange
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.auditKeyPrefix

/**
 * Deletes expired audit rows in bounded transactions.
 *
 * Several processes may prune at the same time, and a delete whose response was lost may be repeated: deleting a row
 * twice has no effect.
 */
public class AuditPruner(
    private val table: TableApi,
    private val clock: ClockMs,
    private val retention: AuditRetention,
    private val newWriteId: () -> String,
) {
    /** Deletes at most [MAX_TRANSACTIONS] times [ROWS_PER_TRANSACTION] rows and returns their number. */
    public suspend fun prune(): Either<Fault, Int> {
        val retainFromMs = (clock() - retention.retentionMs).coerceAtLeast(0)
        val retainFromKey = auditKeyPrefix(retainFromMs)
        var deleted = 0
        repeat(MAX_TRANSACTIONS) {
            val range = RowRange(AUDIT_PREFIX, limit = ROWS_PER_TRANSACTION)
            val rows = table.readRange(range).fold({ return it.left() }, { it })
            val expired = rows.map(Row::key).filter { it < retainFromKey }
            if (expired.isNotEmpty()) {
                table.write(Transaction(newWriteId(), deletes = expired)).onLeft { return it.left() }
                deleted += expired.size
            }
            if (expired.size < ROWS_PER_TRANSACTION) {
                return deleted.right()
            }
        }
        return deleted.right()
    }

    public companion object {
        /** Limits a transaction to the size of a journal flush. */
        public const val ROWS_PER_TRANSACTION: Int = 100

        /** Limits one call to a small fraction of the table service's write capacity. */
        public const val MAX_TRANSACTIONS: Int = 10
    }
}
