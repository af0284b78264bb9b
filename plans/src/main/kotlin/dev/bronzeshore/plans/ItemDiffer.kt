/** Describes the difference between two items of a configuration list field by field. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.StrictJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Compares items through their JSON form; the fields in `skipped` are part of the title. */
internal object ItemDiffer {
    /** One sentence for each field that changed, or one for an item that was added or removed. */
    fun <T> describe(title: String, serializer: KSerializer<T>, old: T?, new: T?, skipped: Set<String>): List<String> {
        val before = old?.let { fields(StrictJson.encodeToJsonElement(serializer, it), skipped) }.orEmpty()
        val after = new?.let { fields(StrictJson.encodeToJsonElement(serializer, it), skipped) }.orEmpty()
        return when {
            old == null -> {
                val given = after.filterValues { it != "null" }
                listOf("$title added (${given.entries.joinToString { "${it.key} ${it.value}" }})")
            }

            new == null -> listOf("$title removed")

            else ->
                after.keys
                    .filter { before[it] != after[it] }
                    .map { "$title: $it ${before[it]} -> ${after[it]}" }
        }
    }

    // Going through JSON covers every field of the models, also fields that are added to them later.
    private fun fields(element: JsonElement, skipped: Set<String>, prefix: String = ""): Map<String, String> =
        buildMap {
            for ((name, value) in element as JsonObject) {
                when {
                    prefix + name in skipped -> continue
                    value is JsonObject -> putAll(fields(value, skipped, "$prefix$name."))
                    else -> put(prefix + name, value.toString().trim('"'))
                }
            }
        }
}
