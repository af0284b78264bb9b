/** Free capacity of the workers during one planning round. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

internal class FreeCapacity {
    private val taken = HashMap<TrackedWorker, Resources>()

    fun free(worker: TrackedWorker): Resources = taken[worker]?.let { worker.free - it } ?: worker.free

    /** Reserves capacity on [worker] against the steps that are planned later. */
    fun reserve(worker: TrackedWorker, demand: Resources) {
        taken[worker] = taken[worker]?.plus(demand) ?: demand
    }

    /** How many tasks of the given size fit into what is free. */
    fun countFitting(worker: TrackedWorker, demand: Resources): Int = demand.countIn(free(worker))
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
