/** A structured event in the log of a process. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.WireJson
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Start of the JSON object in a line; a log collector may put a prefix before it. */
private const val JSON_START = "{\"at_ms\""
private val FIXED_FIELDS = setOf("at_ms", "part", "event")

/** [source] identifies the process: the name that the log collector put before the line, or else the file name. */
internal data class LogLine(
    val atMs: Long,
    val source: String,
    val component: String,
    val event: String,
    val fields: Map<String, String>,
) {
    fun number(field: String): Long? = fields[field]?.toLongOrNull()

    /** True if the line is about the job itself, one of its steps or one of its tasks. */
    fun isAbout(jobId: String): Boolean = fields["job"] == jobId ||
        listOfNotNull(fields["task"], fields["step"]).any { it.substringBefore('.') == jobId }

    companion object {
        /** Parses the event in [text]; null if there is none. */
        fun parse(text: String, file: String): LogLine? {
            val start = text.indexOf(JSON_START).takeIf { it >= 0 } ?: return null
            val content = try {
                WireJson.parseToJsonElement(text.substring(start)).jsonObject
            } catch (e: SerializationException) {
                // The log collector truncated the line.
                return null
            }
            return LogLine(
                atMs = content["at_ms"]?.jsonPrimitive?.longOrNull ?: return null,
                source = parseSource(text.substring(0, start)) ?: file,
                component = content.string("part").orEmpty(),
                event = content.string("event").orEmpty(),
                fields = content.keys.filterNot { it in FIXED_FIELDS }.associateWith { content.string(it).orEmpty() },
            )
        }

        private fun JsonObject.string(field: String): String? = (get(field) as? JsonPrimitive)?.content

        private fun parseSource(prefix: String): String? =
            prefix.split(' ').firstOrNull { word -> word.firstOrNull()?.isLetter() == true && word != "INFO" }
    }
}
