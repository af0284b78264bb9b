/** `audit`: shows who changed what and when. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.auditKeyPrefix
import dev.bronzeshore.core.rowKey
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.Option
import java.time.Duration
import java.time.Instant
import java.time.format.DateTimeParseException

internal open class AuditCommand : ServerCommand() {
    @field:Option(
        name = "--since",
        metaVar = "TIME",
        usage = "how far back: minutes, hours or days such as 30m, 12h or 7d, or a time such as 2026-01-31T08:00:00Z",
    )
    private var since: String = "7d"

    @field:Option(name = "--limit", metaVar = "N", usage = "shows only the newest N entries")
    private var limit: Int = DEFAULT_LIMIT

    override val synopsis: String = "audit"
    override val summary: String = "Shows who changed what and when, the newest last."

    override suspend fun run(context: CtlContext): Either<CtlFailure, Unit> = either {
        val entries = readEntries(context) { true }.bind()
        show(context, ListSerializer(AuditEntry.serializer()), entries, TextRenderer::auditEntries)
    }

    /** Returns the newest entries that match [predicate], at most `--limit` of them, the newest last. */
    protected suspend fun readEntries(
        context: CtlContext,
        predicate: (AuditEntry) -> Boolean,
    ): Either<CtlFailure, List<AuditEntry>> = either {
        val sinceMs = parseSince(context.clock()).bind()
        if (limit < 1) {
            raise(CtlFailure.usage("The limit is $limit.", "a whole number above 0", "--limit"))
        }
        val client = client(context).bind()
        val newest = ArrayDeque<AuditEntry>()
        var after = auditKeyPrefix(sinceMs)
        do {
            val page = client.audit(after, PAGE_SIZE).bind()
            for (entry in page.filter(predicate)) {
                newest += entry
                if (newest.size > limit) {
                    newest.removeFirst()
                }
            }
            val last = page.lastOrNull()?.rowKey
            // Stops if the server returns the same page again, which would otherwise be an endless loop.
            val hasAdvanced = last != null && last > after
            after = last ?: after
        } while (hasAdvanced)
        newest.toList()
    }

    private fun parseSince(nowMs: Long): Either<CtlFailure, Long> {
        val match = PERIOD_PATTERN.matchEntire(since)
        return try {
            if (match == null) {
                Instant.parse(since).toEpochMilli().right()
            } else {
                val (count, unit) = match.destructured
                val period = Duration.parse(if (unit == "d") "P${count}D" else "PT$count${unit.uppercase()}")
                (nowMs - period.toMillis()).coerceAtLeast(0).right()
            }
        } catch (e: DateTimeParseException) {
            CtlFailure.usage("\"$since\" is not a time.", "30m, 12h, 7d or 2026-01-31T08:00:00Z", "--since").left()
        }
    }

    private companion object {
        const val DEFAULT_LIMIT = 200
        const val PAGE_SIZE = 500
        val PERIOD_PATTERN = Regex("(\\d{1,6})([mhd])")
    }
}
