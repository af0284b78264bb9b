/** Tries the queues of one round in order and places what fits. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources

internal class RoundPlanner(
    private val clock: ClockMs,
    private val workers: WorkerTable,
    private val queue: WorkQueue,
    private val book: JobBook,
    private val reservations: ReservationBook,
    private val planner: ReservationPlanner,
) {
    private val placements: ArrayList<Placement> = ArrayList()
    private var limit: Int = 0

    /** Decides at most [limit] placements, except that a gang larger than [limit] starts alone in a round. */
    fun placeUpTo(limit: Int): List<Placement> {
        this.limit = limit
        placements.clear()
        var passes = 0
        do {
            absorbFreedRoom()
            val roundIsFull = !serveQueues()
        } while (!roundIsFull && workers.freed.isNotEmpty() && ++passes < MAX_PASSES)
        return placements.toList()
    }

    /** Serves [reservation] in the coming round as if its room had just been freed. */
    fun serveLater(reservation: Reservation): Unit = reservation.holds.forEach { workers.freed.add(it.room) }

    /** Places the job of [reservation] if its room is free and the round has space for it. */
    private fun serve(reservation: Reservation) {
        val job = reservation.job
        val parts = if (job.isGang) job.pending.size else 1
        val mayStart = reservations.isFree(reservation) &&
            hasSpaceFor(parts) &&
            job.kindQueue.plan.mayAdd(job.item.size * parts)
        if (!mayStart) return
        val rooms = reservation.holds.flatMap { hold -> List(hold.parts) { hold.room } }
        reservations.drop(reservation)
        commit(job, job.pending.take(parts).zip(rooms, ::Assignment))
    }

    private fun hasSpaceFor(parts: Int): Boolean = placements.isEmpty() || placements.size + parts <= limit

    /** Gives freed room first to the work it was kept for, then lets waiting queues be tried again. */
    private fun absorbFreedRoom() {
        while (workers.freed.isNotEmpty() && placements.size < limit) {
            val room = workers.freed.first()
            room.holds.map { it.reservation }.forEach { serve(it) }
            workers.freed.remove(room)
            queue.roomFreed(room.free, room.uncharged.takeIf { room.holds.isNotEmpty() })
        }
    }

    /** Returns false if the round is full. */
    private fun serveQueues(): Boolean {
        val nowMs = clock()
        while (placements.size < limit) {
            val next = KindOrder.first(queue.readyKinds, nowMs)?.ready?.first() ?: return true
            if (!hasSpaceFor(next.shape.gangParts)) return false
            tryPlace(next)
        }
        return false
    }

    private fun tryPlace(next: ShapeQueue) {
        val job = next.jobs.first()
        val own = if (job.reservations.isEmpty()) Resources.NONE else next.wanted
        if (!next.kindQueue.plan.mayAddBeside(next.wanted, own)) return wait(next, QueueState.WAITS_FOR_LIMIT)
        if (job.isGang) {
            if (!workers.fitTogether(job.item.size, job.pending.size)) return wait(next, QueueState.WAITS_FOR_ROOM)
            reservations.dropAll(job)
            commit(job, job.pending.map { Assignment(it, null) })
        } else {
            val part = job.pending.first()
            val room = bestRoom(job)
            if (room == null && !placeInReservedRoom(job, part)) return wait(next, QueueState.WAITS_FOR_ROOM)
            if (room != null) commit(job, listOf(Assignment(part, room)))
            reservations.trim(job)
        }
    }

    private fun bestRoom(job: JobEntry): WorkerRoom? {
        val size = job.item.size
        if (!job.isSpread) return workers.bestFit(size) { FitScore.tight(it, size) }
        return workers.bestFit(size) { FitScore.spread(it, size, job.partsByRack[it.rack] ?: 0) }
    }

    /** Backfill: starts batch work in kept room if it has to end before that room is needed. */
    private fun placeInReservedRoom(job: JobEntry, part: Int): Boolean {
        val nowMs = clock()
        if (job.item.kind.policy != Policy.BATCH || !job.budget.allows(part, nowMs)) return false
        val endMs = nowMs + job.item.declaredRunMs
        val room = workers.reservedRoomFor(job.item.size)
            .firstOrNull { room -> room.holds.all { endMs <= it.reservation.startAtMs } } ?: return false
        commit(job, listOf(Assignment(part, room)))
        job.running[part]?.mustEndByMs = endMs
        return true
    }

    private fun wait(next: ShapeQueue, state: QueueState) {
        val nowMs = clock()
        val head = next.jobs.first()
        if (head.blockedSinceMs == null) head.blockedSinceMs = nowMs
        if (head.isPressing(nowMs)) {
            reserveForAll(next)
        } else if (head.isGang) {
            planner.reserveGang(head)
        }
        queue.block(next, state)
    }

    /** Keeps room for each of the first pressing parts, so that a burst of them does not start one by one. */
    fun reserveForAll(next: ShapeQueue) {
        var left = MAX_RESERVED_PARTS
        for (job in next.jobs) {
            val wanted = if (job.isGang) 1 else job.pending.size
            left -= job.reservations.size
            while (left > 0 && job.reservations.size < wanted) {
                if (!planner.reservePressing(job)) return
                left--
            }
            if (left <= 0) return
        }
    }

    private class Assignment(val part: Int, val room: WorkerRoom?)

    /** Starts the given parts; an assignment without a worker takes the best one, which the caller has made sure of. */
    private fun commit(job: JobEntry, assignments: List<Assignment>) {
        book.dequeue(job)
        job.started = true
        job.blockedSinceMs = null
        for (assignment in assignments) {
            val room = assignment.room ?: bestRoom(job)
            checkNotNull(room) { "no room for part ${assignment.part} of ${job.item.jobId}" }
            job.pending.remove(assignment.part)
            book.start(job, assignment.part, room)
            check(room.charged.fitsIn(room.capacity)) { "worker ${room.workerId} is over its capacity" }
            placements.add(Placement(job.item.jobId, assignment.part, room.workerId))
        }
        val plan = job.kindQueue.plan
        check(plan.limit?.let { plan.used.fitsIn(it) } == true) { "plan ${plan.name} is over its limit" }
        book.enqueue(job)
    }

    private companion object {
        /** Room given back during a round lets another pass start; what is left waits for the next round. */
        const val MAX_PASSES = 4

        /** Bounds the time of one round in a flood of urgent work. */
        const val MAX_RESERVED_PARTS = 16
    }
}
