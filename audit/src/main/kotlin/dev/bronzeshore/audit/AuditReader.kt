/** Reads the audit log in pages, oldest entry first. */
package dev.bronzeshore.audit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.AUDIT_PREFIX
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.RowRange
import dev.bronzeshore.core.TableApi

/** Reads audit rows by key range. */
public class AuditReader(private val table: TableApi) {
    private val log = ComponentLog("audit")

    /**
     * Returns up to [limit] entries after the key [after], newest last; fewer only at the end of the audit log.
     *
     * For the next page, [after] is the `rowKey` of the last entry. To start at a time, [after] is the common prefix of
     * all keys of that time (`auditKeyPrefix`).
     */
    public suspend fun read(after: String = "", limit: Int = DEFAULT_LIMIT): Either<Fault, List<AuditEntry>> {
        checkArguments(after, limit)?.let { return it.left() }
        val entries = ArrayList<AuditEntry>()
        var position = after
        while (entries.size < limit) {
            val remaining = limit - entries.size
            val rows =
                table.readRange(RowRange(AUDIT_PREFIX, position, remaining)).fold({ return it.left() }, { it })
            for (row in rows) {
                val entry = AuditRow.decode(row)
                if (entry == null) {
                    log.warn { "row ${row.key} is skipped: its key is not an audit key" }
                } else {
                    entries += entry
                }
                position = row.key
            }
            if (rows.size < remaining) {
                break
            }
        }
        return entries.right()
    }

    private fun checkArguments(after: String, limit: Int): Fault? = when {
        limit !in 1..MAX_LIMIT ->
            Fault(ResultCode.INVALID_VALUE, "The limit is $limit.", "limit", "a whole number from 1 to $MAX_LIMIT")

        after.isNotEmpty() && !after.startsWith(AUDIT_PREFIX) ->
            Fault(
                ResultCode.INVALID_VALUE,
                "\"$after\" is not an audit key.",
                "after",
                "nothing, or a key that starts with \"$AUDIT_PREFIX\"",
            )

        else -> null
    }

    public companion object {
        public const val DEFAULT_LIMIT: Int = 100

        /** Limits a response to a few hundred kilobytes. */
        public const val MAX_LIMIT: Int = 1_000
    }
}
