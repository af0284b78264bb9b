/** Tries the queues of one round in order and places what fits. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Resources

internal class RoundPlanner(
    private val clock: ClockMs,
    private val workers: WorkerTable,
    private val queue: WorkQueue,
    private val starter: PartStarter,
    private val reservations: ReservationBook,
    private val planner: ReservationPlanner,
    private val backfill: Backfill,
) {
    /** Queues found to fit a worker but not under their plan's limit; see [mayStart]. */
    private val overLimit: ArrayList<ShapeQueue> = ArrayList()

    /** Decides at most [limit] placements, except that a gang larger than [limit] starts alone in a round. */
    fun placeUpTo(limit: Int): List<Placement> {
        starter.begin(limit)
        var passes = 0
        do {
            fillFreedRooms()
            fillFreedLimits()
            serveReady()
            val mayGoOn = !starter.isFull && (workers.freed.isNotEmpty() || queue.freedPlans.isNotEmpty())
        } while (mayGoOn && ++passes < MAX_PASSES)
        return starter.placements.toList()
    }

    /** Serves [reservation] in the coming round as if its room had just been freed. */
    fun serveLater(reservation: Reservation): Unit = reservation.holds.forEach { workers.freed.add(it.room) }

    /** Places the job of [reservation] if its room is free and the round has space for it. */
    private fun serve(reservation: Reservation) {
        val job = reservation.job
        val parts = if (job.isGang) job.pending.size else 1
        val mayStart = reservations.isFree(reservation) &&
            starter.hasSpaceFor(parts) &&
            job.kindQueue.plan.mayAdd(job.item.size * parts)
        if (!mayStart) return
        val rooms = reservation.holds.flatMap { hold -> List(hold.parts) { hold.room } }
        reservations.drop(reservation)
        starter.start(job, job.pending.take(parts).zip(rooms, ::Assignment))
    }

    /** Gives freed room first to the work it was kept for, then to what waits for room, in order. */
    private fun fillFreedRooms() {
        while (workers.freed.isNotEmpty() && !starter.isFull) {
            val room = workers.freed.first()
            room.holds.map { it.reservation }.forEach { serve(it) }
            workers.freed.remove(room)
            while (!starter.isFull) {
                val next = firstFor(room) ?: break
                if (!starter.hasSpaceFor(next.shape.gangParts)) return
                if (next.state == QueueState.READY || next.shape.gangParts > 0) tryPlace(next) else fill(room, next)
            }
            backfill.fill(room)
        }
    }

    /** Returns the first queue in order that could start on [room]: waiting ones fit nowhere else. */
    private fun firstFor(room: WorkerRoom): ShapeQueue? {
        val nowMs = clock()
        val free = room.free
        var first: ShapeQueue? = null
        for (kind in queue.waitingKinds) {
            val fitting = kind.waiting.firstFitting(free, QueueState.WAITS_FOR_ROOM) { mayStart(it) } ?: continue
            first = KindOrder.first(first, fitting, nowMs)
        }
        for (kind in queue.readyKinds) first = KindOrder.first(first, kind.ready.first(), nowMs)
        if (overLimit.isNotEmpty()) {
            overLimit.forEach { queue.block(it, QueueState.WAITS_FOR_LIMIT) }
            overLimit.clear()
        }
        return first
    }

    /** A queue whose room is there but whose plan is at its limit has to wait for the limit from now on. */
    private fun mayStart(waiting: ShapeQueue): Boolean {
        val gangParts = waiting.shape.gangParts
        if (gangParts > 0 && !workers.fitTogether(waiting.shape.size, gangParts)) return false
        if (waiting.kindQueue.plan.mayAddBeside(waiting.wanted, ownReserved(waiting))) return true
        overLimit.add(waiting)
        return false
    }

    private fun fill(room: WorkerRoom, next: ShapeQueue) {
        val job = next.jobs.first()
        starter.start(job, listOf(Assignment(job.pending.first(), room)))
        reservations.trim(job)
    }

    /** Looks again at what waits for the limit of plans that use less now. */
    private fun fillFreedLimits() {
        while (queue.freedPlans.isNotEmpty() && !starter.isFull) {
            val plan = queue.freedPlans.first()
            val next = firstFor(plan)
            if (next != null && !starter.hasSpaceFor(next.shape.gangParts)) return
            if (next == null) queue.freedPlans.remove(plan) else tryPlace(next)
        }
    }

    private fun firstFor(plan: PlanAccount): ShapeQueue? {
        val nowMs = clock()
        val headroom = plan.headroom()
        var first: ShapeQueue? = null
        for (kind in plan.kinds.values) {
            val fitting = kind.waiting.firstFitting(headroom, QueueState.WAITS_FOR_LIMIT) {
                it.wanted.fitsIn(headroom)
            } ?: continue
            first = KindOrder.first(first, fitting, nowMs)
        }
        return first
    }

    private fun serveReady() {
        val nowMs = clock()
        while (!starter.isFull) {
            var next: ShapeQueue? = null
            for (kind in queue.readyKinds) next = KindOrder.first(next, kind.ready.first(), nowMs)
            if (next == null || !starter.hasSpaceFor(next.shape.gangParts)) return
            tryPlace(next)
        }
    }

    private fun ownReserved(queue: ShapeQueue): Resources =
        if (queue.jobs.first().reservations.isEmpty()) Resources.NONE else queue.wanted

    private fun tryPlace(next: ShapeQueue) {
        val job = next.jobs.first()
        val isAllowed = next.kindQueue.plan.mayAddBeside(next.wanted, ownReserved(next))
        if (!isAllowed) return wait(next, QueueState.WAITS_FOR_LIMIT)
        if (job.isGang) {
            if (!workers.fitTogether(job.item.size, job.pending.size)) return wait(next, QueueState.WAITS_FOR_ROOM)
            reservations.dropAll(job)
            starter.start(job, job.pending.map { Assignment(it, null) })
        } else {
            val part = job.pending.first()
            val room = starter.bestRoom(job)
            if (room == null && !backfill.startAnywhere(next)) return wait(next, QueueState.WAITS_FOR_ROOM)
            if (room != null) starter.start(job, listOf(Assignment(part, room)))
            reservations.trim(job)
        }
    }

    private fun wait(next: ShapeQueue, state: QueueState) {
        val nowMs = clock()
        val head = next.jobs.first()
        if (head.isPressing(nowMs)) {
            reserveForAll(next)
        } else if (head.isGang) {
            planner.reserveGang(head)
        }
        queue.block(next, state)
    }

    /** Keeps room for each of the first pressing parts, so that a burst of them does not start one by one. */
    fun reserveForAll(next: ShapeQueue) {
        var left = MAX_NEW_RESERVATIONS
        for (job in next.jobs.take(MAX_RESERVED_JOBS)) {
            val wanted = if (job.isGang) 1 else job.pending.size
            while (left > 0 && job.reservations.size < wanted) {
                if (!planner.reservePressing(job)) return
                left--
            }
        }
    }

    private companion object {
        /** Room given back during a round lets another pass start; what is left waits for the next round. */
        const val MAX_PASSES = 4

        /** Bounds the time of one round in a flood of urgent work; the review goes on every 100 ms. */
        const val MAX_NEW_RESERVATIONS = 16
        const val MAX_RESERVED_JOBS = 256
    }
}
