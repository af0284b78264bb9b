/** How often running parts of a job may be stopped for the sake of others. */
package dev.bronzeshore.placement

/** Remembers the disturbances of each part; at most [MAX_PER_HOUR] are allowed in any hour. */
internal class PreemptionBudget {
    private val byPart: HashMap<Int, ArrayDeque<Long>> = HashMap()

    fun allows(part: Int, nowMs: Long): Boolean {
        val times = byPart[part] ?: return true
        while (times.isNotEmpty() && times.first() + HOUR_MS <= nowMs) times.removeFirst()
        return times.size < MAX_PER_HOUR
    }

    fun record(part: Int, nowMs: Long) {
        byPart.getOrPut(part) { ArrayDeque() }.addLast(nowMs)
    }

    private companion object {
        const val MAX_PER_HOUR = 2
        const val HOUR_MS = 3_600_000L
    }
}
