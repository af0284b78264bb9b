/**
 * Structured logging: one JSON object for each decision, on standard output.
 *
 * The number of lines per second is limited for each event name, so that a flood of requests cannot flood the log. The
 * first line written after lines were dropped reports how many.
 */
package dev.bronzeshore.core

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.tinylog.Logger

/** Per event name; a busy leader starts about 120 tasks per second, and writing a line takes about 20 us. */
private const val MAX_LINES_PER_SECOND = 100
private const val SECOND_MS = 1_000L

/** Thread-safe. [component] identifies the component that writes and is logged as `part`. */
public class EventLog(
    private val component: String,
    private val clock: ClockMs = System::currentTimeMillis,
    private val write: (String) -> Unit = { Logger.info(it as Any) },
) {
    private class RateWindow(var startMs: Long, var lines: Int, var dropped: Int)

    private val windows = HashMap<String, RateWindow>()

    /** Writes a line with the given [fields]; fields with a null value are omitted. */
    public fun event(name: String, vararg fields: Pair<String, Any?>) {
        val now = clock()
        val dropped = admit(name, now) ?: return
        val line = buildJsonObject {
            put("at_ms", JsonPrimitive(now))
            put("part", JsonPrimitive(component))
            put("event", JsonPrimitive(name))
            for ((key, value) in fields) if (value != null) put(key, primitiveOf(value))
            if (dropped > 0) put("lines_left_out", JsonPrimitive(dropped))
        }
        write(line.toString())
    }

    /** Returns the number of lines dropped before this one, or null if this one is dropped as well. */
    private fun admit(name: String, now: Long): Int? = synchronized(windows) {
        val window = windows.getOrPut(name) { RateWindow(now, 0, 0) }
        if (now - window.startMs !in 0 until SECOND_MS) {
            window.startMs = now
            window.lines = 0
        }
        if (window.lines >= MAX_LINES_PER_SECOND) {
            window.dropped++
            return null
        }
        window.lines++
        window.dropped.also { window.dropped = 0 }
    }

    private fun primitiveOf(value: Any): JsonPrimitive = when (value) {
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        else -> JsonPrimitive(value.toString())
    }
}
