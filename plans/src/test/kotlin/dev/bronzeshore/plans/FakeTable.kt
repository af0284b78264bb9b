/** An in-memory table service that can lose requests and responses, be unavailable, or serve stale reads. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult
import kotlinx.coroutines.yield

/** How the table handles one write. */
internal enum class WriteBehavior { NORMAL, REQUEST_LOST, RESPONSE_LOST, UNAVAILABLE }

internal class FakeTable {
    val rows = sortedMapOf<String, Row>()
    val behaviors = ArrayDeque<WriteBehavior>()

    /** Runs after the next write, for example for a write by another writer. */
    var afterWrite: suspend () -> Unit = {}
    var readFault: Fault? = null

    /** If true, a read returns the row as it was before its last write. */
    var staleRead: () -> Boolean = { false }

    /** Order in which conditions are checked; the table service does not specify it. */
    var conditionOrder: (List<Condition>) -> List<Condition> = { it }

    private val previous = HashMap<String, Row?>()

    val api =
        TableApi(
            read = { key ->
                yield()
                readFault?.left() ?: (if (staleRead()) previous[key] else rows[key]).right()
            },
            readRange = { range ->
                rows.values
                    .filter { it.key.startsWith(range.prefix) && it.key > range.afterKey }
                    .take(range.limit)
                    .right()
            },
            write = ::write,
        )

    private suspend fun write(transaction: Transaction): Either<Fault, WriteResult> {
        yield()
        val behavior = behaviors.removeFirstOrNull() ?: WriteBehavior.NORMAL
        if (behavior == WriteBehavior.UNAVAILABLE) {
            return Fault(ResultCode.STORE_UNAVAILABLE, "down").left()
        }
        val result = if (behavior == WriteBehavior.REQUEST_LOST) null else applyTransaction(transaction)
        val hook = afterWrite
        afterWrite = {}
        hook()
        return if (behavior == WriteBehavior.NORMAL && result != null) {
            result.right()
        } else {
            Fault(ResultCode.WRITE_UNKNOWN, "response lost").left()
        }
    }

    private fun applyTransaction(transaction: Transaction): WriteResult {
        for (condition in conditionOrder(transaction.conditions)) {
            val actual = rows[condition.key]?.version ?: 0
            if (actual != condition.version) {
                return WriteResult.Conflict(condition.key, actual)
            }
        }
        for (put in transaction.puts) {
            previous[put.key] = rows[put.key]
            val version = (rows[put.key]?.version ?: 0) + 1
            rows[put.key] = Row(put.key, version, put.value, transaction.writeId)
        }
        transaction.deletes.forEach(rows::remove)
        return WriteResult.Applied
    }
}
