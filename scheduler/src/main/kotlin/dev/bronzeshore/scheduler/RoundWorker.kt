/** A worker as the planner sees it during one round: its free capacity less what the round has given away. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

internal class RoundWorker(val worker: TrackedWorker, val slowness: Double) {
    var free: Resources = worker.free
        private set

    /** Takes capacity from the steps that are planned later. */
    fun reserve(demand: Resources) {
        free -= demand
    }

    fun reserveAll() {
        free = Resources.NONE
    }
}

/** How many times this amount fits into [available]. */
internal fun Resources.countIn(available: Resources): Int = minOf(
    timesIn(processorsMillicores, available.processorsMillicores),
    timesIn(memoryBytes, available.memoryBytes),
    timesIn(accelerators, available.accelerators),
)

private fun timesIn(need: Long, room: Long): Int = when {
    room < 0 -> 0
    need <= 0 -> Int.MAX_VALUE
    else -> (room / need).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
}
