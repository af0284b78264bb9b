/** Decides where room is kept for work that does not fit now. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Resources

internal class ReservationPlanner(
    private val clock: ClockMs,
    private val workers: WorkerTable,
    private val shares: ShareAccounts,
    private val reservations: ReservationBook,
    private val preemptions: PreemptionPlanner,
) {
    /** Keeps room for one part of [job], or for all parts of a gang, and tells less urgent parts to leave at once. */
    fun reservePressing(job: JobEntry): Boolean {
        if (job.isGang && job.kindQueue.plan.reservedGang != null) return false
        val parts = if (job.isGang) job.pending.size else 1
        if (!mayReservePressing(job, parts)) return false
        val freedBefore = workers.freed.toSet()
        val nowMs = clock()
        val reservation = reservations.open(job, Purpose.URGENT, nowMs, nowMs + CHECK_AGAIN_MS)
        val victims = ArrayList<RunningPart>()
        for (part in 0 until parts) {
            val chosen = chooseRoom(job)
            if (chosen == null) {
                victims.forEach { unmark(it) }
                reservations.drop(reservation)
                // Giving back what was kept for a moment must not count as freed room, or the job is tried for ever.
                workers.freed.retainAll(freedBefore)
                return false
            }
            chosen.victims.forEach { mark(it) }
            victims.addAll(chosen.victims)
            reservations.keep(reservation, chosen.room, 1)
        }
        victims.forEach { unmark(it) }
        preemptions.order(victims)
        return true
    }

    /** A flood of urgent work above its share must not keep the room that others are entitled to. */
    private fun mayReservePressing(job: JobEntry, parts: Int): Boolean =
        job.kindQueue.pressingReservations < MAX_PRESSING_ON_LENT_SHARE ||
            shares.isEntitledToUrgent(job.kindQueue, job.item.size * parts)

    /** Keeps room for all parts of a gang where running parts are expected to end first. */
    fun reserveGang(job: JobEntry): Boolean =
        job.kindQueue.plan.reservedGang == null && reserveByExpectedEnds(job, Purpose.GANG, job.pending.size)

    /** Keeps room for one part of [job] where running parts are expected to end first, but before [latestMs]. */
    fun reserveOne(job: JobEntry, latestMs: Long = Long.MAX_VALUE): Boolean =
        reserveByExpectedEnds(job, Purpose.SHARE, 1, latestMs)

    /** Keeps room for one part of [job] and tells parts that run on a lent share to leave. */
    fun returnShare(job: JobEntry): Boolean {
        val rule = preemptions.forShare(job)
        val borrowers = shares.borrowers().filter { it !== job.kindQueue }
        val chosen = leastCost(job, preemptions.roomsOfNewest(borrowers), rule) ?: return false
        val nowMs = clock()
        val reservation = reservations.open(job, Purpose.SHARE, nowMs, nowMs + CHECK_AGAIN_MS)
        reservations.keep(reservation, chosen.room, 1)
        preemptions.order(chosen.victims)
        return true
    }

    /** Tells what is still in the way of [reservation] to leave; returns false if the room cannot be had. */
    fun enforce(reservation: Reservation): Boolean {
        val rule = when (reservation.purpose) {
            Purpose.URGENT -> preemptions.forPressing(reservation.job)
            Purpose.GANG -> preemptions.forGang(reservation.job)
            Purpose.SHARE -> preemptions.forShare(reservation.job)
        }
        val victims = LinkedHashSet<RunningPart>()
        for (hold in reservation.holds) {
            val available = reservations.roomFor(hold) + hold.room.stopping
            val chosen = preemptions.choose(hold.room, hold.size, available, rule) ?: return false
            victims.addAll(chosen)
        }
        preemptions.order(victims.toList())
        val size = reservation.job.item.size * reservation.holds.sumOf { it.parts }
        val ofPlan = preemptions.chooseOfPlan(reservation.job.kindQueue.plan, size, rule) ?: return false
        preemptions.order(ofPlan)
        return true
    }

    private class RoomChoice(val room: WorkerRoom, val victims: List<RunningPart>)

    private fun chooseRoom(job: JobEntry): RoomChoice? {
        val rule = preemptions.forPressing(job)
        return leastCost(job, workers.reclaimableFor(job.item.size), rule)
            ?: leastCost(job, preemptions.roomsOfNewest(shares.borrowers() + job.kindQueue.plan.kinds.values), rule)
    }

    /** At its plan's limit, only parts of the plan itself make way: they free the limit along with the room. */
    private fun leastCost(job: JobEntry, rooms: List<WorkerRoom>, rule: (RunningPart) -> Boolean): RoomChoice? {
        val plan = job.kindQueue.plan
        val size = job.item.size
        val isLimited = !plan.mayAddBeside(size, Resources.NONE)
        val limitedRule: (RunningPart) -> Boolean = { it.job.kindQueue.plan === plan && rule(it) }
        return rooms
            .filter { it.accepting && size.fitsIn(it.capacity - it.held) }
            .mapNotNull { room ->
                val available = preemptions.availableOn(room)
                val victims = if (isLimited) {
                    preemptions.choose(room, size, available.notAbove(Resources.NONE), limitedRule)
                } else {
                    preemptions.choose(room, size, available, rule)
                }
                victims?.let { RoomChoice(room, it) }
            }
            .minByOrNull { PreemptionPlanner.cost(it.victims) }
    }

    private fun reserveByExpectedEnds(
        job: JobEntry,
        purpose: Purpose,
        parts: Int,
        latestMs: Long = Long.MAX_VALUE,
    ): Boolean {
        val nowMs = clock()
        val size = job.item.size
        val rooms = workers.roomiest(size, parts * ROOMS_PER_PART + MIN_ROOMS)
        val chosen = rooms.flatMap { RoomForecast.of(it, size, parts, nowMs) }.sortedBy { it.atMs }.take(parts)
        if (chosen.size < parts || chosen.last().atMs > latestMs) return false
        val startAtMs = minOf(chosen.last().atMs, nowMs + MAX_WAIT_MS)
        val reservation = reservations.open(job, purpose, startAtMs)
        for ((room, openings) in chosen.groupBy { it.room }) reservations.keep(reservation, room, openings.size)
        // Room that is free already is used in this round, not at the next check.
        if (startAtMs <= nowMs) reservation.holds.forEach { workers.freed.add(it.room) }
        return true
    }

    /** Makes a part count as leaving while further rooms of the same reservation are chosen. */
    private fun mark(part: RunningPart) {
        part.stopOrderedAtMs = clock()
        part.worker.stopping += part.charge
    }

    private fun unmark(part: RunningPart) {
        part.stopOrderedAtMs = null
        part.worker.stopping -= part.charge
    }

    private companion object {
        const val ROOMS_PER_PART = 4
        const val MIN_ROOMS = 8

        /** Longer than a checkpoint (2 s) and its repetition (after 3 s). */
        const val CHECK_AGAIN_MS = 4_000L

        /** One reservation of an urgent flood serves one part in 2 s, which takes next to nothing from other kinds. */
        const val MAX_PRESSING_ON_LENT_SHARE = 2

        /** Bounds the wait behind work whose declared end is far away; batch work that is still there has to leave. */
        const val MAX_WAIT_MS = 600_000L
    }
}

private fun Resources.notAbove(bound: Resources): Resources = Resources(
    minOf(processorsMillicores, bound.processorsMillicores),
    minOf(memoryBytes, bound.memoryBytes),
    minOf(accelerators, bound.accelerators),
)
