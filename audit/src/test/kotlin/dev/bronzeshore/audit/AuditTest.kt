package dev.bronzeshore.audit

import arrow.core.right
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.WriteResult
import dev.bronzeshore.core.auditKeyPrefix
import dev.bronzeshore.core.rowKey
import dev.bronzeshore.core.toPut
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** Guards against audit entries that are missed between pages, hidden, kept too long or deleted too early. */
class AuditTest {
    private val rows = sortedMapOf<String, Row>()
    private val deletesPerWrite = mutableListOf<Int>()
    private val table =
        TableApi(
            read = { rows[it].right() },
            readRange = { range ->
                rows.values
                    .filter { it.key.startsWith(range.prefix) && it.key > range.afterKey }
                    .take(range.limit)
                    .right()
            },
            write = { transaction ->
                transaction.deletes.forEach(rows::remove)
                deletesPerWrite += transaction.deletes.size
                WriteResult.Applied.right()
            },
        )

    @Test
    fun `pages follow each other without gaps, newest last`() = runBlocking {
        // 9 and 10 have a different number of digits: unpadded keys would be out of order.
        val entries = (8L..12L).map { entry(it) }.onEach(::put)
        val reader = AuditReader(table)
        val first = reader.read(limit = 3).getOrNull().orEmpty()
        val second = reader.read(first.last().rowKey, limit = 3).getOrNull().orEmpty()
        assertEquals(entries, first + second)
        assertEquals(entries.drop(2), reader.read(auditKeyPrefix(10)).getOrNull())
        assertEquals(emptyList<AuditEntry>(), reader.read(second.last().rowKey).getOrNull())
    }

    @Test
    fun `an unreadable row is returned and a key of another format does not end a page early`() = runBlocking {
        put("audit/note")
        put(entry(7).rowKey)
        put(entry(8))
        rows["audit/0-odd"] = Row("audit/0-odd", 1, "", "w")
        val actions = AuditReader(table).read(limit = 2).getOrNull()?.map { it.atMs to it.action }
        assertEquals(listOf(7L to AuditRow.UNREADABLE, 8L to "plans apply"), actions)
    }

    @Test
    fun `invalid arguments are refused`() = runBlocking {
        for ((after, limit) in listOf("" to 0, "" to -1, "" to 1_001, "config/" to 5)) {
            assertEquals(ResultCode.INVALID_VALUE, AuditReader(table).read(after, limit).leftOrNull()?.code)
        }
    }

    @Test
    fun `pruning keeps rows within the retention period and bounds its transactions`() = runBlocking {
        val hourMs = AuditRetention.MIN_RETENTION_MS
        (1L..1_250L).forEach { put(entry(it)) }
        val clock = { hourMs + 1_201 }
        val pruner = AuditPruner(table, clock, AuditRetention(hourMs)) { "w" }
        assertEquals(1_000, pruner.prune().getOrNull())
        assertEquals(200, pruner.prune().getOrNull())
        assertEquals(0, pruner.prune().getOrNull())
        assertEquals(entry(1_201).rowKey, rows.firstKey())
        assertEquals(50, rows.size)
        assertEquals(true, deletesPerWrite.all { it == 100 })
    }

    @Test
    fun `a retention period that would delete rows still needed to resolve writes is refused`() {
        assertThrows(IllegalArgumentException::class.java) { AuditRetention(0) }
        val young = AuditPruner(table, { 5 }, AuditRetention()) { "w" }
        put(entry(1))
        assertEquals(0, runBlocking { young.prune() }.getOrNull())
    }

    private fun entry(atMs: Long) = AuditEntry("ada", atMs, "plans apply", atMs, "w$atMs", listOf("x"), "{}", null)

    private fun put(entry: AuditEntry) {
        rows[entry.rowKey] = Row(entry.rowKey, 1, entry.toPut().value, entry.writeId)
    }

    private fun put(key: String) {
        rows[key] = Row(key, 1, "not json", "w")
    }
}
