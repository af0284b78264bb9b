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
        val plan = job.kindQueue.plan
        val parts = if (job.isGang) job.pending.size else 1
        if (job.isGang && plan.reservedGang != null) return false
        if (!plan.mayAdd(plan.reserved + job.item.size * parts)) return false
        val freedBefore = workers.freed.toSet()
        val reservation = reservations.open(job, Purpose.URGENT, clock())
        reservation.nextOrderMs += CHECK_AGAIN_MS
        val victims = ArrayList<RunningPart>()
        repeat(parts) {
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

    /** Keeps room for all parts of a gang where running parts are expected to end first. */
    fun reserveGang(job: JobEntry): Boolean {
        val plan = job.kindQueue.plan
        val parts = job.pending.size
        if (plan.reservedGang != null || !plan.mayAdd(plan.reserved + job.item.size * parts)) return false
        return reserveByExpectedEnds(job, Purpose.GANG, parts)
    }

    /** Keeps room for one part of [job] where running parts are expected to end first. */
    fun reserveOne(job: JobEntry): Boolean {
        val plan = job.kindQueue.plan
        if (!plan.mayAdd(plan.reserved + job.item.size)) return false
        return reserveByExpectedEnds(job, Purpose.SHARE, 1)
    }

    /** Keeps room for one part of [job] and tells parts that run on a lent share to leave. */
    fun returnShare(job: JobEntry): Boolean {
        val plan = job.kindQueue.plan
        if (!shares.isEntitled(job.kindQueue) || !plan.mayAdd(plan.reserved + job.item.size)) return false
        val rule = preemptions.forShare(job)
        val chosen = borrowedRooms(job).mapNotNull { room -> victimsOn(room, job.item.size, rule) }
            .minByOrNull { PreemptionPlanner.cost(it.victims) } ?: return false
        val reservation = reservations.open(job, Purpose.SHARE, clock())
        reservation.nextOrderMs += CHECK_AGAIN_MS
        reservations.keep(reservation, chosen.room, 1)
        preemptions.order(chosen.victims)
        return true
    }

    /** Tells what is still in the way of [reservation] to leave; returns false if the room cannot be had. */
    fun enforce(reservation: Reservation): Boolean {
        reservation.nextOrderMs = clock() + CHECK_AGAIN_MS
        val rule = when (reservation.purpose) {
            Purpose.URGENT -> preemptions.forPressing(reservation.job)
            Purpose.GANG -> preemptions.forGang(reservation.job)
            Purpose.SHARE -> preemptions.forShare(reservation.job)
        }
        val victims = ArrayList<RunningPart>()
        for (hold in reservation.holds) {
            val available = reservations.roomFor(hold) + hold.room.stopping
            val chosen = preemptions.choose(hold.room, hold.size, available, rule) ?: return false
            victims.addAll(chosen)
        }
        preemptions.order(victims.distinct())
        return true
    }

    private class RoomChoice(val room: WorkerRoom, val victims: List<RunningPart>)

    private fun chooseRoom(job: JobEntry): RoomChoice? {
        val rule = preemptions.forPressing(job)
        return workers.reclaimableFor(job.item.size)
            .mapNotNull { victimsOn(it, job.item.size, rule) }
            .minByOrNull { PreemptionPlanner.cost(it.victims) }
    }

    private fun victimsOn(room: WorkerRoom, size: Resources, rule: (RunningPart) -> Boolean): RoomChoice? =
        preemptions.choose(room, size, preemptions.availableOn(room), rule)?.let { RoomChoice(room, it) }

    /** Workers where the kind that borrows most has its newest parts. */
    private fun borrowedRooms(job: JobEntry): List<WorkerRoom> {
        val borrower = shares.largestBorrower(job.kindQueue) ?: return emptyList()
        return borrower.running.toList()
            .takeLast(MAX_BORROWED_PARTS)
            .map { it.worker }
            .distinct()
            .filter { it.accepting && job.item.size.fitsIn(it.capacity - it.held) }
    }

    private fun reserveByExpectedEnds(job: JobEntry, purpose: Purpose, parts: Int): Boolean {
        val nowMs = clock()
        val size = job.item.size
        val rooms = workers.roomiest(size, parts * ROOMS_PER_PART + MIN_ROOMS)
        val chosen = rooms.flatMap { RoomForecast.of(it, size, parts, nowMs) }.sortedBy { it.atMs }.take(parts)
        if (chosen.size < parts) return false
        val startAtMs = minOf(chosen.last().atMs, nowMs + MAX_WAIT_MS)
        val reservation = reservations.open(job, purpose, startAtMs)
        for ((room, openings) in chosen.groupBy { it.room }) reservations.keep(reservation, room, openings.size)
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
        const val MIN_ROOMS = 16
        const val MAX_BORROWED_PARTS = 32

        /** Longer than a checkpoint (2 s) and its repetition (after 3 s). */
        const val CHECK_AGAIN_MS = 4_000L

        /** Bounds the wait behind work whose declared end is far away; batch work that is still there has to leave. */
        const val MAX_WAIT_MS = 600_000L
    }
}
