/** Rows and conditional transactions of the table service. */
package dev.bronzeshore.standins

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.RowRange
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult
import java.util.TreeMap

/** Keeps rows in memory. Thread-safe. */
internal class TableStore {
    private val rows = TreeMap<String, Row>()

    @Synchronized
    fun read(key: String): Row? = rows[key]

    @Synchronized
    fun readRange(range: RowRange): List<Row> = rows
        .tailMap(maxOf(range.prefix, range.afterKey), true)
        .values
        .asSequence()
        .dropWhile { it.key <= range.afterKey }
        .takeWhile { it.key.startsWith(range.prefix) }
        .take(range.limit.coerceAtLeast(0))
        .toList()

    /** Applies a transaction atomically; a key that is written twice is a fault. */
    @Synchronized
    fun write(transaction: Transaction): Either<Fault, WriteResult> {
        val keys = transaction.puts.map { it.key } + transaction.deletes
        val duplicateKey = keys.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.firstOrNull()
        if (duplicateKey != null) {
            return Fault(ResultCode.DUPLICATE_KEY, "The transaction writes key '$duplicateKey' twice.").left()
        }
        val violated = transaction.conditions.firstOrNull { versionOf(it.key) != it.version }
        if (violated != null) {
            return WriteResult.Conflict(violated.key, versionOf(violated.key)).right()
        }
        transaction.puts.forEach {
            rows[it.key] = Row(it.key, versionOf(it.key) + 1, it.value, transaction.writeId)
        }
        transaction.deletes.forEach { rows.remove(it) }
        return WriteResult.Applied.right()
    }

    private fun versionOf(key: String): Long = rows[key]?.version ?: 0
}
