/** In-memory table service with injectable faults. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult
import java.util.TreeMap

internal class FakeTable {
    val rows = TreeMap<String, Row>()
    var writes = 0

    /** Faults of the next writes, in order; with `WRITE_UNKNOWN` the write takes effect and its response is lost. */
    val writeFaults = ArrayDeque<ResultCode>()
    var isDown = false

    val api = TableApi(
        read = { key -> if (isDown) down() else rows[key].right() },
        readRange = { range ->
            val matching = rows.values.filter { it.key.startsWith(range.prefix) && it.key > range.afterKey }
            if (isDown) down() else matching.take(range.limit).right()
        },
        write = ::write,
    )

    private fun write(transaction: Transaction): Either<Fault, WriteResult> {
        if (isDown) return down()
        val fault = writeFaults.removeFirstOrNull()
        if (fault == ResultCode.STORE_UNAVAILABLE) return down()
        val result = apply(transaction)
        return if (fault == null) result.right() else Fault(fault, "lost response").left()
    }

    private fun apply(transaction: Transaction): WriteResult {
        writes++
        transaction.conditions.forEach { condition ->
            val actual = rows[condition.key]?.version ?: 0
            if (actual != condition.version) return WriteResult.Conflict(condition.key, actual)
        }
        transaction.puts.forEach {
            rows[it.key] = Row(it.key, (rows[it.key]?.version ?: 0) + 1, it.value, transaction.writeId)
        }
        transaction.deletes.forEach(rows::remove)
        return WriteResult.Applied
    }

    private fun down() = Fault(ResultCode.STORE_UNAVAILABLE, "down").left()
}
