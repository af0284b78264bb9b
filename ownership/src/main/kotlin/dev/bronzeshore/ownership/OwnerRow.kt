/** The row that names the owner of a data centre. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.Row
import dev.bronzeshore.core.WireJson
import kotlinx.serialization.Serializable

/**
 * Content of the row `owner/<dataCentre>`.
 *
 * [deputyId] is null when no other process was known; no promise can then extend the lease. No effect of an earlier
 * term lasts past [effectsUntilMs].
 */
@Serializable
internal data class OwnerRow(
    val ownerId: String,
    val term: Long,
    val deputyId: String?,
    val leaseUntilMs: Long,
    val effectsUntilMs: Long = 0,
)

/** An owner row at a version; version 0 with a null [row] means that the table holds no row. */
internal data class VersionedOwnerRow(val version: Long, val row: OwnerRow?)

internal fun ownerRowKey(dataCentre: String): String = "owner/$dataCentre"

internal fun Row?.toOwnerRow(): VersionedOwnerRow = if (this == null) {
    VersionedOwnerRow(version = 0, row = null)
} else {
    VersionedOwnerRow(version, WireJson.decodeFromString(OwnerRow.serializer(), value))
}

internal fun OwnerRow.encode(): String = WireJson.encodeToString(OwnerRow.serializer(), this)
