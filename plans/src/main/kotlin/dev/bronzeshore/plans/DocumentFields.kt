/** Lenient access to fields, for checks that also run on documents with faults. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

internal fun JsonElement?.field(name: String): JsonElement? = (this as? JsonObject)?.get(name)

internal fun JsonElement?.items(): List<JsonElement> = (this as? JsonArray).orEmpty()

internal fun JsonElement?.text(name: String): String? = (field(name) as? JsonPrimitive)?.takeIf { it.isString }?.content

internal fun JsonElement?.number(name: String): Long? =
    (field(name) as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull

/** Reports each value that occurs again; missing fields are skipped, because another check reports them. */
internal fun Document.reportDuplicateValues(what: String, values: List<UniqueValue>, secret: Boolean = false) {
    val firstPaths = HashMap<String, String>()
    for ((path, value) in values) {
        if (value == null) {
            continue
        }
        val first = firstPaths.putIfAbsent(value, path) ?: continue
        val subject = if (secret) "This $what" else "The $what \"$value\""
        report(ResultCode.DUPLICATE_KEY, path, "$subject is already used at $first.", "a $what that is used once")
    }
}
