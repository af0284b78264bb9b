/** In-memory table service for tests, with conditional writes and injected faults. */
package dev.bronzeshore.ownership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult

/** [ROWS_MISSING] is an outage in which reads find no row. */
internal enum class TableMode { UP, DOWN, ROWS_MISSING, RESPONSE_LOST, UNKNOWN_NOT_APPLIED }

/** Table in memory; [beforeCall] lets a test delay a call. */
internal class FakeTable {
    val rows = HashMap<String, Row>()
    var mode = TableMode.UP
    var beforeCall: suspend () -> Unit = {}

    val api =
        TableApi(
            read = { key ->
                beforeCall()
                when (mode) {
                    TableMode.UP -> rows[key].right()
                    TableMode.ROWS_MISSING -> null.right()
                    else -> fault(ResultCode.STORE_UNAVAILABLE).left()
                }
            },
            readRange = { range ->
                beforeCall()
                val found = rows.values.filter { it.key.startsWith(range.prefix) && it.key > range.afterKey }
                if (mode == TableMode.UP) {
                    found.sortedBy { it.key }.take(range.limit).right()
                } else {
                    fault(ResultCode.STORE_UNAVAILABLE).left()
                }
            },
            write = { transaction ->
                beforeCall()
                respond(transaction)
            },
        )

    private fun respond(transaction: Transaction): Either<Fault, WriteResult> = when (mode) {
        TableMode.UP -> apply(transaction).right()

        TableMode.DOWN -> fault(ResultCode.STORE_UNAVAILABLE).left()

        TableMode.RESPONSE_LOST -> {
            apply(transaction)
            fault(ResultCode.WRITE_UNKNOWN).left()
        }

        TableMode.UNKNOWN_NOT_APPLIED, TableMode.ROWS_MISSING -> fault(ResultCode.WRITE_UNKNOWN).left()
    }

    fun apply(transaction: Transaction): WriteResult {
        val failed = transaction.conditions.find { (rows[it.key]?.version ?: 0) != it.version }
        if (failed != null) return WriteResult.Conflict(failed.key, rows[failed.key]?.version ?: 0)
        transaction.puts.forEach {
            rows[it.key] = Row(it.key, (rows[it.key]?.version ?: 0) + 1, it.value, transaction.writeId)
        }
        transaction.deletes.forEach(rows::remove)
        return WriteResult.Applied
    }
}

internal fun fault(code: ResultCode): Fault = Fault(code, code.meaning)
