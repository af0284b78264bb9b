/**
 * Chooses the places that a waiting gang keeps on busy workers.
 *
 * The load it answers: workers full of small tasks, and wide gangs whose members need far more than what becomes free
 * at a time. A gang keeps room for its members where they can end first, and only that room: the rest of such a worker
 * goes on taking small tasks. Keeping whole workers leaves a fifth of the capacity idle, because all of their tasks
 * have to end first.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

/** A task that is about to end, or that has exceeded its estimate, is expected to take this much longer. */
private const val MIN_REMAINING_MS = 50L
private const val PERCENT = 100

/** Advantage of a place that the gang kept in the previous round, so that gangs do not exchange their places. */
private const val KEPT_ADVANTAGE_MS = 1_000L

/** What a gang that does not start waits for. */
internal enum class GangWait {
    /** Its account's limit. */
    LIMIT,

    /** Advice on enough workers. */
    ADVICE,

    /** Gangs before it keep as much as all gangs may. */
    SHARE,

    /** The places that it keeps. */
    PLACES,

    /** New tickets for its places, which are free. */
    TICKETS,
}

/** Room on a worker for one more member of a gang: when it is expected, and when the member would end there. */
internal class GangPlace(val target: RoundWorker, val readyAtMs: Long, val endsAtMs: Long)

/** The [count] places on [targets] at which members of [gang] are expected to end first, or as many as there are. */
internal fun earliestPlaces(gang: TrackedStep, count: Int, targets: List<RoundWorker>, now: Long): List<GangPlace> =
    targets.flatMap { target ->
        val runMs = (gang.description.estimateMs * target.slowness).toLong()
        val advantageMs = if (gang in target.keptBy) KEPT_ADVANTAGE_MS else 0
        target.timesOfRoom(gang.taskDemand, count, now).map { GangPlace(target, it, it + runMs - advantageMs) }
    }.sortedBy { it.endsAtMs }.take(count)

/** Times at which room for a first, second, ... run of [demand] is expected on the worker, at most [limit] of them. */
private fun RoundWorker.timesOfRoom(demand: Resources, limit: Int, now: Long): List<Long> {
    val times = ArrayList<Long>()
    var room = free
    fun addPlaces(atMs: Long) {
        while (times.size < limit && demand.fitsIn(room)) {
            room -= demand
            times += atMs
        }
    }
    addPlaces(now)
    for ((endsAtMs, released) in expectedEnds(now)) {
        if (times.size >= limit) break
        room += released
        addPlaces(endsAtMs)
    }
    return times
}

/** When the run is expected to end, by its reported progress or else by its estimate. */
internal fun Placement.expectedEndMs(slowness: Double, now: Long): Long {
    val runMs = (task.step.description.estimateMs * slowness).toLong()
    val increasedAtMs = progress.increasedAtMs
    val endsAtMs = if (increasedAtMs != null && progress.percent > 0) {
        increasedAtMs + runMs * (PERCENT - progress.percent) / PERCENT
    } else {
        orderedAtMs + runMs
    }
    return endsAtMs.coerceAtLeast(now + MIN_REMAINING_MS)
}
