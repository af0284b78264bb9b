/** Audit entries and the layout of their keys, shared by the modules that write and read audit rows. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** Prefix of the keys of all audit rows. */
public const val AUDIT_PREFIX: String = "audit/"

/** Digits to which the time in an audit key is zero-padded; keys then sort by time for all realistic times. */
public const val AUDIT_TIME_DIGITS: Int = 16

/**
 * An audited change: who changed what, and when.
 *
 * [before] and [after] hold the changed content as JSON; null means that it did not exist before or was removed.
 * [writeId] identifies the transaction that wrote both the change and this entry.
 */
@Serializable
public data class AuditEntry(
    public val operator: String,
    public val atMs: Long,
    public val action: String,
    public val version: Long,
    public val writeId: String,
    public val changes: List<String> = emptyList(),
    public val before: String? = null,
    public val after: String? = null,
)

/** Key of the entry's row; later entries have greater keys. */
public val AuditEntry.rowKey: String
    get() = "${auditKeyPrefix(atMs)}-$writeId"

/** Key prefix shared by all entries written at [atMs]. */
public fun auditKeyPrefix(atMs: Long): String = AUDIT_PREFIX + atMs.toString().padStart(AUDIT_TIME_DIGITS, '0')

/** Returns the write that stores the entry; add it to the transaction that makes the change. */
public fun AuditEntry.toPut(): Put = Put(rowKey, WireJson.encodeToString(AuditEntry.serializer(), this))
