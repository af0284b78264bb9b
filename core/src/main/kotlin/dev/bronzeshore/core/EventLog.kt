/**
 * Structured log lines: one JSON object for each decision, on standard output.
 *
 * The number of lines of each event is bounded a second, so that a flood of requests cannot turn into a flood of
 * lines. The first line after a bounded second tells how many were left out.
 */
package dev.bronzeshore.core

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import org.tinylog.Logger

/** Lines of one event in a second; a busy leader makes about 120 starts a second and one line takes about 20 us. */
private const val MAX_LINES_PER_SECOND = 100
private const val SECOND_MS = 1_000L

/** Thread-safe; [part] is the fixed prefix of the part that writes. */
public class EventLog(
    private val part: String,
    private val clock: ClockMs = System::currentTimeMillis,
    private val write: (String) -> Unit = { Logger.info(it as Any) },
) {
    private class Budget(var secondStartMs: Long, var lines: Int, var dropped: Int)

    private val budgets = HashMap<String, Budget>()

    /** Writes a line with the given [fields]; null values are left out. */
    public fun event(name: String, vararg fields: Pair<String, Any?>) {
        val now = clock()
        val dropped = admit(name, now) ?: return
        val line = buildJsonObject {
            put("at_ms", JsonPrimitive(now))
            put("part", JsonPrimitive(part))
            put("event", JsonPrimitive(name))
            for ((key, value) in fields) if (value != null) put(key, primitiveOf(value))
            if (dropped > 0) put("lines_left_out", JsonPrimitive(dropped))
        }
        write(line.toString())
    }

    /** The number of lines left out before this one, or null if this one is left out as well. */
    private fun admit(name: String, now: Long): Int? = synchronized(budgets) {
        val budget = budgets.getOrPut(name) { Budget(now, 0, 0) }
        if (now - budget.secondStartMs !in 0 until SECOND_MS) {
            budget.secondStartMs = now
            budget.lines = 0
        }
        if (budget.lines >= MAX_LINES_PER_SECOND) {
            budget.dropped++
            return null
        }
        budget.lines++
        budget.dropped.also { budget.dropped = 0 }
    }

    private fun primitiveOf(value: Any): JsonPrimitive = when (value) {
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        else -> JsonPrimitive(value.toString())
    }
}
