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
 * Deletes old audit rows in bounded transactions.
 *
 * Several processes may prune at the same time, and a lost answer needs no settling: deleting a row twice has no
 * effect.
 */
public class AuditPruner(
    private val table: TableApi,
    private val clock: ClockMs,
    private val retention: AuditRetention,
    private val newWriteId: () -> String,
) {
    /** Deletes at most [MAX_TRANSACTIONS] times [ROWS_PER_TRANSACTION] rows and says how many. */
    public suspend fun prune(): Either<Fault, Int> {
        val keepFromMs = (clock() - retention.retentionMs).coerceAtLeast(0)
        val keepFromKey = auditKeyPrefix(keepFromMs)
        var deleted = 0
        repeat(MAX_TRANSACTIONS) {
            val range = RowRange(AUDIT_PREFIX, limit = ROWS_PER_TRANSACTION)
            val rows = table.readRange(range).fold({ return it.left() }, { it })
            val old = rows.map(Row::key).filter { it < keepFromKey }
            if (old.isNotEmpty()) {
                table.write(Transaction(newWriteId(), deletes = old)).onLeft { return it.left() }
                deleted += old.size
            }
            if (old.size < ROWS_PER_TRANSACTION) {
                return deleted.right()
            }
        }
        return deleted.right()
    }

    public companion object {
        /** Keeps a transaction as small as a flush of the journal. */
        public const val ROWS_PER_TRANSACTION: Int = 100

        /** Keeps one call from taking a noticeable part of the table service's writes. */
        public const val MAX_TRANSACTIONS: Int = 10
    }
}
