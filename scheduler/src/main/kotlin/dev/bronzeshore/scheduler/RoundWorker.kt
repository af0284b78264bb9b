/**
 * A worker as the planner sees it during one round: its free capacity less what the round has given away.
 *
 * A part of the free capacity may be kept for starts that have to wait. Other tasks may use that part if they are
 * likely to end before the waiting start, or if enough is left beside it.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

/** A place that becomes free at [atMs] for a task of a step. */
internal data class ExpectedPlace(val target: RoundWorker, val atMs: Long)

internal class RoundWorker(val worker: TrackedWorker, val slowness: Double, private val now: Long) {
    /** Includes what is kept for starts that wait. */
    var free: Resources = worker.free
        private set

    /** A task starts here in this round. */
    var hasNewRuns: Boolean = false
        private set

    /** The gangs that reserved the worker in the previous round. */
    val reservedFor: Set<TrackedStep> = worker.takeReservations()

    private var kept = Resources.NONE

    /** The first of the starts for which capacity is kept. */
    private var keptUntilMs = Long.MAX_VALUE
    private val keptSteps = LinkedHashSet<TrackedStep>()

    /** Free capacity that is not needed at [keptUntilMs]; null if it has to be worked out again. */
    private var roomBesideKept: Resources? = null

    /** Steps for whose starts capacity is kept. */
    val keptFor: Set<TrackedStep> get() = keptSteps

    /** Runs whose ends are known, the next one first. */
    private val expectedEnds: MutableList<ExpectedEnd> by lazy {
        worker.placements.mapNotNullTo(ArrayList()) { placement ->
            placement.expectedEndMs(slowness, now)?.let { ExpectedEnd(it, placement.task.step.taskDemand) }
        }.apply { sortBy { it.atMs } }
    }

    /** Capacity that is free once all runs have ended whose ends are known. */
    val eventualRoom: Resources by lazy { expectedEnds.fold(free) { sum, end -> sum + end.demand } }

    /** Takes capacity for a task that starts now. */
    fun take(step: TrackedStep) {
        val demand = step.taskDemand
        hasNewRuns = true
        step.likelyEndMs(slowness, now)?.let { expectedEnds += ExpectedEnd(it, demand) }
        free -= demand
        roomBesideKept = null
    }

    /** Keeps capacity for [count] tasks of [step] that start at [startAtMs], or at an unknown time soon. */
    fun keep(step: TrackedStep, count: Int, startAtMs: Long = now) {
        kept += step.taskDemand * count
        keptUntilMs = minOf(keptUntilMs, startAtMs)
        keptSteps += step
        roomBesideKept = null
    }

    /** Free capacity for tasks of [step]; with [usesKept], also what is kept for others. */
    fun roomFor(step: TrackedStep, usesKept: Boolean = false): Resources {
        if (keptSteps.isEmpty() || usesKept) return free
        val endsAtMs = step.likelyEndMs(slowness, now)
        if (endsAtMs != null && endsAtMs <= keptUntilMs) return free
        return roomBesideKept ?: roomBesideKept().also { roomBesideKept = it }
    }

    private fun roomBesideKept(): Resources {
        val freeThen = expectedEnds.filter { it.atMs <= keptUntilMs }.fold(free) { sum, end -> sum + end.demand }
        return free.atMost((freeThen - kept).atLeast(Resources.NONE))
    }

    /** Tasks of [step] that the worker takes if [room] is free; placing and reserving must not differ in this. */
    fun placesFor(step: TrackedStep, room: Resources): Int = minOf(step.taskDemand.countIn(room), placesLeft(step))

    fun placesWhenIdle(step: TrackedStep): Int = placesFor(step, worker.entry.capacity)

    /** Tasks of the step that may still be placed here beside those that are. */
    private fun placesLeft(step: TrackedStep): Int {
        val limit = step.description.maxPerWorker.takeIf { it > 0 } ?: return Int.MAX_VALUE
        return limit - step.tasks.count { it.placement?.worker === worker }
    }

    /** When up to [most] places for tasks of [step] are expected to be free, beside what is kept for others. */
    fun expectedPlaces(step: TrackedStep, most: Int): List<ExpectedPlace> {
        val places = ArrayList<ExpectedPlace>()
        var room = free - kept
        fun addPlaces(atMs: Long) {
            val count = placesFor(step, room).coerceAtMost(most)
            while (places.size < count) places += ExpectedPlace(this, atMs)
        }
        addPlaces(now)
        for (end in expectedEnds.sortedBy { it.atMs }) {
            if (places.size >= most) break
            room += end.demand
            addPlaces(end.atMs)
        }
        return places
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

internal fun Resources.atMost(other: Resources) = Resources(
    minOf(processorsMillicores, other.processorsMillicores),
    minOf(memoryBytes, other.memoryBytes),
    minOf(accelerators, other.accelerators),
)

internal fun Resources.atLeast(other: Resources) = Resources(
    maxOf(processorsMillicores, other.processorsMillicores),
    maxOf(memoryBytes, other.memoryBytes),
    maxOf(accelerators, other.accelerators),
)
