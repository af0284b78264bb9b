/** One structured line of a process's log. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.WireJson
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.longOrNull

/** Where the fields of a line begin; a collector may put its own words before them. */
private const val LINE_START = "{\"at_ms\""
private val FIXED_FIELDS = setOf("at_ms", "part", "event")

/** [source] names the process: a word that the collector put before the line, or the file. */
internal data class LogLine(
    val atMs: Long,
    val source: String,
    val part: String,
    val event: String,
    val fields: Map<String, String>,
) {
    fun number(field: String): Long? = fields[field]?.toLongOrNull()

    /** True if the line concerns the job itself, one of its steps or one of its tasks. */
    fun concerns(jobId: String): Boolean = fields["job"] == jobId ||
        listOfNotNull(fields["task"], fields["step"]).any { it.substringBefore('.') == jobId }

    companion object {
        /** The line in [text], or null if it holds none. */
        fun parse(text: String, file: String): LogLine? {
            val start = text.indexOf(LINE_START).takeIf { it >= 0 } ?: return null
            val content = try {
                WireJson.parseToJsonElement(text.substring(start)).jsonObject
            } catch (e: SerializationException) {
                // A line that was cut off by its collector.
                return null
            }
            return LogLine(
                atMs = content["at_ms"]?.jsonPrimitive?.longOrNull ?: return null,
                source = sourceIn(text.substring(0, start)) ?: file,
                part = content.text("part").orEmpty(),
                event = content.text("event").orEmpty(),
                fields = content.keys.filterNot { it in FIXED_FIELDS }.associateWith { content.text(it).orEmpty() },
            )
        }

        private fun JsonObject.text(field: String): String? = (get(field) as? JsonPrimitive)?.content

        private fun sourceIn(prefix: String): String? =
            prefix.split(' ').firstOrNull { word -> word.firstOrNull()?.isLetter() == true && word != "INFO" }
    }
}
