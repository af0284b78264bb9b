/** A row of the table store. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

internal data class SoakRowId(val table: String, val part: String, val key: String)

internal class SoakRow(val id: SoakRowId, val value: String?, val version: Long) {
    fun toJson(): JsonObject = buildJsonObject {
        put("table", id.table)
        put("part", id.part)
        put("key", id.key)
        if (value == null) put("removed", true) else put("value", value)
        put("ver", version)
    }
}
