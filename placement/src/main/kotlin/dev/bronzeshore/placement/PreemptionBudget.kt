/** Limits how often the running parts of a job may be preempted. */
package dev.bronzeshore.placement

/** Records the preemptions of each part; at most [MAX_PER_HOUR] are allowed in any hour. */
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
