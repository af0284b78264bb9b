/** Table row that names the owner of a data centre. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.Row
import dev.bronzeshore.core.WireJson
import kotlinx.serialization.Serializable

/**
 * Content of the row `owner/<dataCentre>`.
 *
 * [deputyId] is null if no other process was known; no deputy lease can then extend [leaseUntilMs]. No effect of an
 * earlier term lasts past [effectsUntilMs].
 */
@Serializable
internal data class OwnerRow(
    val ownerId: String,
    val term: Long,
    val deputyId: String?,
    val leaseUntilMs: Long,
    val effectsUntilMs: Long = 0,
)

/** Owner row with its version; version 0 and a null [row] mean that the table holds no row. */
internal data class VersionedOwnerRow(val version: Long, val row: OwnerRow?)

internal fun ownerRowKey(dataCentre: String): String = "owner/$dataCentre"

internal fun Row?.toOwnerRow(): VersionedOwnerRow = if (this == null) {
    VersionedOwnerRow(version = 0, row = null)
} else {
    VersionedOwnerRow(version, WireJson.decodeFromString(OwnerRow.serializer(), value))
}

internal fun OwnerRow.encode(): String = WireJson.encodeToString(OwnerRow.serializer(), this)
