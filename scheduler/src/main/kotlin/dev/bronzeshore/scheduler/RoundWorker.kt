/** A worker as the planner sees it during one round: its free capacity less what the round has given away. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

internal class RoundWorker(val worker: TrackedWorker, val slowness: Double) {
    /** Negative in a dimension in which gangs keep more than is free now. */
    var free: Resources = worker.free
        private set

    /** A task starts here in this round. */
    var hasNewRuns: Boolean = false
        private set

    /** The gangs that kept room on the worker in the previous round. */
    val keptBy: Set<TrackedStep> = worker.takeReservations()

    private var expectedEnds: List<ExpectedEnd>? = null

    /** Takes capacity from the steps that are planned later. */
    fun reserve(demand: Resources) {
        hasNewRuns = true
        free -= demand
    }

    /** Keeps room for a member of a gang, also if it is not free yet; the next round prefers the same worker for it. */
    fun reserveFor(gang: TrackedStep) {
        free -= gang.taskDemand
        worker.reserveFor(gang)
    }

    /** The runs on the worker in the order in which they are expected to end. */
    fun expectedEnds(now: Long): List<ExpectedEnd> = expectedEnds ?: worker.placements
        .map { ExpectedEnd(it.expectedEndMs(slowness, now), it.task.step.taskDemand) }
        .sortedBy { it.endsAtMs }
        .also { expectedEnds = it }
}

/** When a run is expected to end, and what it releases. */
internal data class ExpectedEnd(val endsAtMs: Long, val released: Resources)

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
