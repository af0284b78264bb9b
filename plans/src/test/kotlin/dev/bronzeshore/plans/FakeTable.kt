/** A table service in memory that can lose answers, be down, or serve stale reads. */
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

/** What happens to one write. */
internal enum class WriteFate { NORMAL, LOST_BEFORE, LOST_AFTER, DOWN }

internal class FakeTable {
    val rows = sortedMapOf<String, Row>()
    val fates = ArrayDeque<WriteFate>()

    /** Runs after the next write, for example to let another writer in. */
    var afterWrite: suspend () -> Unit = {}
    var readFault: Fault? = null

    /** True: the next read gets the row as it was before its last write. */
    var staleRead: () -> Boolean = { false }

    /** The order in which conditions are checked is not specified. */
    var orderOf: (List<Condition>) -> List<Condition> = { it }

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
        val fate = fates.removeFirstOrNull() ?: WriteFate.NORMAL
        if (fate == WriteFate.DOWN) {
            return Fault(ResultCode.STORE_UNAVAILABLE, "down").left()
        }
        val result = if (fate == WriteFate.LOST_BEFORE) null else applyNow(transaction)
        val hook = afterWrite
        afterWrite = {}
        hook()
        return if (fate == WriteFate.NORMAL && result != null) {
            result.right()
        } else {
            Fault(ResultCode.WRITE_UNKNOWN, "answer lost").left()
        }
    }

    private fun applyNow(transaction: Transaction): WriteResult {
        for (condition in orderOf(transaction.conditions)) {
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
