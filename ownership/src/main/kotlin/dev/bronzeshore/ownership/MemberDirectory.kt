/** Process rows, by which bronzeshore processes discover each other. */
package dev.bronzeshore.ownership

import arrow.core.Either
import arrow.core.raise.either
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.RowRange
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WireJson
import kotlinx.serialization.Serializable

/** Time between two writes of a process row. */
public const val PROCESS_ROW_PERIOD_MS: Long = 2_000

/** Validity of a process row after a write; two writes in a row may fail before it expires. */
public const val PROCESS_ROW_LIFETIME_MS: Long = 7_000

/** Expired rows are deleted after this time, so that the number of rows does not grow with each restart. */
internal const val PROCESS_ROW_RETENTION_MS: Long = 3_600_000

private const val PROCESS_PREFIX = "process/"

@Serializable
internal data class ProcessRow(val member: Member, val liveUntilMs: Long)

/** Writes the row of this process and reads the others; keeps the last known members while the table is unavailable. */
public class MemberDirectory(private val self: Member, private val clock: ClockMs, private val table: TableApi) {
    private val log = ComponentLog("ownership")
    private var others: List<Member> = emptyList()
    private var writeCount = 0L

    /** This process and all others that were live at the last successful read. */
    public val members: List<Member>
        get() = listOf(self) + others

    /** Writes the row of this process; called every [PROCESS_ROW_PERIOD_MS]. */
    public suspend fun announce(): Either<Fault, Unit> {
        val row = ProcessRow(self, clock() + PROCESS_ROW_LIFETIME_MS)
        val put = Put(PROCESS_PREFIX + self.processId, WireJson.encodeToString(ProcessRow.serializer(), row))
        return table.write(Transaction(nextWriteId(), puts = listOf(put))).map {}
    }

    /** Deletes the row of this process on a planned stop, so that no peer selects it as deputy. */
    public suspend fun withdraw(): Either<Fault, Unit> =
        table.write(Transaction(nextWriteId(), deletes = listOf(PROCESS_PREFIX + self.processId))).map {}

    /** Reads all process rows; on a fault the last known members are kept. */
    public suspend fun refresh(): Either<Fault, List<Member>> = either {
        val rows = readAll().bind()
        val nowMs = clock()
        val live = rows
            .filter { it.member.processId != self.processId && nowMs < it.liveUntilMs + MAX_CLOCK_SKEW_MS }
            .map { it.member }
        logChange(live)
        others = live
        deleteOld(rows, nowMs)
        members
    }

    private fun logChange(live: List<Member>) {
        val added = (live - others.toSet()).map { it.processId }
        val removed = (others - live.toSet()).map { it.processId }
        if (added.isNotEmpty()) log.info { "Processes found: ${added.joinToString()}" }
        if (removed.isNotEmpty()) log.info { "Processes without a live row: ${removed.joinToString()}" }
    }

    private suspend fun readAll(): Either<Fault, List<ProcessRow>> = either {
        val found = ArrayList<ProcessRow>()
        var range = RowRange(PROCESS_PREFIX)
        do {
            val rows = table.readRange(range).bind()
            rows.mapTo(found) { WireJson.decodeFromString(ProcessRow.serializer(), it.value) }
            rows.lastOrNull()?.let { range = range.copy(afterKey = it.key) }
        } while (rows.size >= range.limit)
        found
    }

    private suspend fun deleteOld(rows: List<ProcessRow>, nowMs: Long) {
        val old = rows.filter { it.liveUntilMs + PROCESS_ROW_RETENTION_MS < nowMs }
        if (old.isEmpty()) return
        val keys = old.take(MAX_DELETES).map { PROCESS_PREFIX + it.member.processId }
        table.write(Transaction(nextWriteId(), deletes = keys))
    }

    private fun nextWriteId(): String {
        writeCount += 1
        return "${self.processId}/directory/$writeCount"
    }

    private companion object {
        const val MAX_DELETES = 100
    }
}
