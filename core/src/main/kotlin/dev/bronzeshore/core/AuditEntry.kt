/** One audited change, shared by the parts that write audit rows and the part that reads them. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** Prefix of the keys of all audit rows. */
public const val AUDIT_PREFIX: String = "audit/"

/** Digits of the time in an audit key: key order is then time order for all times that a long can hold in practice. */
public const val AUDIT_TIME_DIGITS: Int = 16

/**
 * Who changed what and when.
 *
 * [before] and [after] hold the changed part as JSON; null means that there was nothing, or that nothing is left.
 * [writeId] is the identity of the transaction that wrote the change and this entry together.
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

/** Key of the entry's row; a later entry has a greater key. */
public val AuditEntry.rowKey: String
    get() = "${auditKeyPrefix(atMs)}-$writeId"

/** The part of an audit key that all entries written at [atMs] share. */
public fun auditKeyPrefix(atMs: Long): String = AUDIT_PREFIX + atMs.toString().padStart(AUDIT_TIME_DIGITS, '0')

/** The write that stores the entry; it belongs into the transaction that makes the change. */
public fun AuditEntry.toPut(): Put = Put(rowKey, WireJson.encodeToString(AuditEntry.serializer(), this))
