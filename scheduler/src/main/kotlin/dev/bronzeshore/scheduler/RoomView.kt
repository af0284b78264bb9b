/** Free room of the workers during one planning round. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

internal class RoomView {
    private val taken = HashMap<TrackedWorker, Resources>()

    fun free(worker: TrackedWorker): Resources = taken[worker]?.let { worker.free - it } ?: worker.free

    /** Keeps room on [worker] from the steps that are planned after this one. */
    fun take(worker: TrackedWorker, room: Resources) {
        taken[worker] = taken[worker]?.plus(room) ?: room
    }

    /** How many tasks of the given size fit into what is free. */
    fun countFitting(worker: TrackedWorker, room: Resources): Int = room.countIn(free(worker))
}

/** How many times this amount fits into [room]. */
internal fun Resources.countIn(room: Resources): Int = minOf(
    timesIn(processorsMillicores, room.processorsMillicores),
    timesIn(memoryBytes, room.memoryBytes),
    timesIn(accelerators, room.accelerators),
)

private fun timesIn(need: Long, room: Long): Int = when {
    room < 0 -> 0
    need <= 0 -> Int.MAX_VALUE
    else -> (room / need).coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
}
