/** Describes the difference between two items of a configuration list field by field. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.StrictJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Compares items by their JSON form, without the fields in `skipped`, which the title already names. */
internal object ItemDiffer {
    /** Returns one sentence for each field that changed, or a single one for an item that was added or removed. */
    fun <T> describe(title: String, serializer: KSerializer<T>, old: T?, new: T?, skipped: Set<String>): List<String> {
        val before = old?.let { fields(StrictJson.encodeToJsonElement(serializer, it), skipped) }.orEmpty()
        val after = new?.let { fields(StrictJson.encodeToJsonElement(serializer, it), skipped) }.orEmpty()
        return when {
            old == null -> {
                val presentFields = after.filterValues { it != "null" }
                listOf("$title added (${presentFields.entries.joinToString { "${it.key} ${it.value}" }})")
            }

            new == null -> listOf("$title removed")

            else ->
                after.keys
                    .filter { before[it] != after[it] }
                    .map { "$title: $it ${before[it]} -> ${after[it]}" }
        }
    }

    // The JSON form covers every field of the models, including fields that are added to them later.
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
