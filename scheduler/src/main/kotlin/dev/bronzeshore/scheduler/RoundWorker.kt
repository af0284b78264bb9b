/** A worker as the planner sees it during one round: its free capacity less what the round has given away. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

/** Larger than any difference in slowness and free capacity, so that a gang does not change its workers. */
private const val KEPT_RESERVATION_BONUS = 100.0

internal class RoundWorker(val worker: TrackedWorker, val slowness: Double) {
    var free: Resources = worker.free
        private set

    /** A task starts here in this round. */
    var hasNewRuns: Boolean = false
        private set

    /** The gang that reserved the worker in the previous round. */
    val reservedFor: TrackedStep? = worker.takeReservation()

    /** Takes capacity from the steps that are planned later. */
    fun reserve(demand: Resources) {
        hasNewRuns = true
        free -= demand
    }

    /** Keeps all free capacity for a gang; the next round prefers the same worker for it. */
    fun reserveFor(gang: TrackedStep) {
        free = Resources.NONE
        worker.reserveFor(gang)
    }

    /** When the last run on the worker is expected to end. */
    fun idleAtMs(now: Long): Long = worker.placements.maxOfOrNull { it.expectedEndMs(slowness, now) } ?: now

    /** Order in which a gang reserves workers: those that it has, then fast ones that are soon free. */
    fun reservationCost(gang: TrackedStep): Double {
        if (reservedFor === gang) return slowness - KEPT_RESERVATION_BONUS
        val capacity = worker.entry.capacity.processorsMillicores.coerceAtLeast(1)
        return slowness - free.processorsMillicores.toDouble() / capacity
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
