/** Decodes audit rows; the components that make changes encode them with the model in core. */
package dev.bronzeshore.audit

import dev.bronzeshore.core.AUDIT_PREFIX
import dev.bronzeshore.core.AUDIT_TIME_DIGITS
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.WireJson

/** Decoder of audit rows. */
public object AuditRow {
    /** Action of an entry whose row exists but cannot be decoded: its time and writeId come from the key. */
    public const val UNREADABLE: String = "unreadable row"

    private val KEY = Regex(Regex.escape(AUDIT_PREFIX) + "(\\d{$AUDIT_TIME_DIGITS})-(.+)")

    /** Returns the entry of [row], with the action [UNREADABLE] if only its value is malformed; null if its key is. */
    public fun decode(row: Row): AuditEntry? {
        val match = KEY.matchEntire(row.key) ?: return null
        val (time, writeId) = match.destructured
        return try {
            WireJson.decodeFromString(AuditEntry.serializer(), row.value).copy(atMs = time.toLong(), writeId = writeId)
        } catch (e: IllegalArgumentException) {
            AuditEntry(operator = "", time.toLong(), UNREADABLE, version = 0, writeId, listOf(e.message.orEmpty()))
        }
    }
}
