/** Tries the queues in priority order and places what fits in one round. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Resources

internal class RoundPlanner(
    private val clock: ClockMs,
    private val workers: WorkerRegistry,
    private val queue: WorkQueue,
    private val starter: PartStarter,
    private val reservations: ReservationRegistry,
    private val planner: ReservationPlanner,
    private val backfill: BackfillPlanner,
) {
    /** Queues that fit a worker but not under their plan's limit; see [mayStart]. */
    private val overLimit: ArrayList<ShapeQueue> = ArrayList()

    /** Makes at most [limit] placements, except that a gang larger than [limit] starts alone in a round. */
    fun placeUpTo(limit: Int): List<Placement> {
        starter.beginRound(limit)
        var passes = 0
        do {
            fillFreedWorkers()
            retryFreedPlans()
            serveReady()
            val mayGoOn = !starter.isFull && (workers.freedWorkers.isNotEmpty() || queue.freedPlans.isNotEmpty())
        } while (mayGoOn && ++passes < MAX_PASSES)
        return starter.placements.toList()
    }

    /** Lets the next round serve [reservation] as if its capacity had just been freed. */
    fun markForServing(reservation: Reservation): Unit =
        reservation.workerReservations.forEach { workers.freedWorkers.add(it.worker) }

    /** Places the job of [reservation] if its capacity is free and the limits of round and plan allow it. */
    private fun serve(reservation: Reservation) {
        val job = reservation.job
        val parts = if (job.isGang) job.pending.size else 1
        val mayStart = reservations.isCapacityFree(reservation) &&
            starter.fitsInRound(parts) &&
            job.kindQueue.plan.allows(job.item.size * parts)
        if (!mayStart) return
        val assigned = reservation.workerReservations.flatMap { workerReservation ->
            List(workerReservation.parts) { workerReservation.worker }
        }
        reservations.remove(reservation)
        starter.start(job, job.pending.take(parts).zip(assigned, ::Assignment))
    }

    /** Gives freed capacity first to the work it was reserved for, then to blocked work in priority order. */
    private fun fillFreedWorkers() {
        while (workers.freedWorkers.isNotEmpty() && !starter.isFull) {
            val worker = workers.freedWorkers.first()
            worker.reservations.map { it.reservation }.forEach { serve(it) }
            workers.freedWorkers.remove(worker)
            while (!starter.isFull) {
                val next = firstFor(worker) ?: break
                if (!starter.fitsInRound(next.shape.gangParts)) return
                if (next.state == QueueState.READY || next.shape.gangParts > 0) tryPlace(next) else start(worker, next)
            }
            backfill.fill(worker)
        }
    }

    /** Returns the first queue in priority order that could start on [worker]; blocked queues fit nowhere else. */
    private fun firstFor(worker: WorkerState): ShapeQueue? {
        val nowMs = clock()
        val free = worker.free
        var first: ShapeQueue? = null
        for (kind in queue.blockedKinds) {
            val fitting = kind.blocked.firstFitting(free, QueueState.WAITS_FOR_ROOM) { mayStart(it) } ?: continue
            first = KindOrder.first(first, fitting, nowMs)
        }
        for (kind in queue.readyKinds) first = KindOrder.first(first, kind.ready.first(), nowMs)
        if (overLimit.isNotEmpty()) {
            overLimit.forEach { queue.block(it, QueueState.WAITS_FOR_LIMIT) }
            overLimit.clear()
        }
        return first
    }

    /** A queue that fits but whose plan is at its limit waits for the limit from now on. */
    private fun mayStart(blocked: ShapeQueue): Boolean {
        val gangParts = blocked.shape.gangParts
        if (gangParts > 0 && !workers.fitTogether(blocked.shape.size, gangParts)) return false
        if (blocked.kindQueue.plan.allowsBesideReserved(blocked.demand, ownReserved(blocked))) return true
        overLimit.add(blocked)
        return false
    }

    private fun start(worker: WorkerState, next: ShapeQueue) {
        val job = next.jobs.first()
        starter.start(job, listOf(Assignment(job.pending.first(), worker)))
        reservations.trim(job)
    }

    /** Retries queues that wait for the limit of plans whose usage or reservations went down. */
    private fun retryFreedPlans() {
        while (queue.freedPlans.isNotEmpty() && !starter.isFull) {
            val plan = queue.freedPlans.first()
            val next = firstFor(plan)
            if (next != null && !starter.fitsInRound(next.shape.gangParts)) return
            if (next == null) queue.freedPlans.remove(plan) else tryPlace(next)
        }
    }

    private fun firstFor(plan: PlanState): ShapeQueue? {
        val nowMs = clock()
        val headroom = plan.headroom()
        var first: ShapeQueue? = null
        for (kind in plan.kinds.values) {
            val fitting = kind.blocked.firstFitting(headroom, QueueState.WAITS_FOR_LIMIT) {
                it.demand.fitsIn(headroom)
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
            if (next == null || !starter.fitsInRound(next.shape.gangParts)) return
            tryPlace(next)
        }
    }

    private fun ownReserved(queue: ShapeQueue): Resources =
        if (queue.jobs.first().reservations.isEmpty()) Resources.NONE else queue.demand

    private fun tryPlace(next: ShapeQueue) {
        val job = next.jobs.first()
        val isAllowed = next.kindQueue.plan.allowsBesideReserved(next.demand, ownReserved(next))
        if (!isAllowed) return block(next, QueueState.WAITS_FOR_LIMIT)
        if (job.isGang) {
            if (!workers.fitTogether(job.item.size, job.pending.size)) return block(next, QueueState.WAITS_FOR_ROOM)
            reservations.removeAllOf(job)
            starter.start(job, job.pending.map { Assignment(it, null) })
        } else {
            val part = job.pending.first()
            val worker = starter.bestWorker(job)
            if (worker == null && !backfill.startOnReservedWorker(next)) return block(next, QueueState.WAITS_FOR_ROOM)
            if (worker != null) starter.start(job, listOf(Assignment(part, worker)))
            reservations.trim(job)
        }
    }

    private fun block(next: ShapeQueue, state: QueueState) {
        val nowMs = clock()
        val head = next.jobs.first()
        if (head.isTimeCritical(nowMs)) {
            reserveForTimeCritical(next)
        } else if (head.isGang) {
            planner.reserveGang(head)
        }
        queue.block(next, state)
    }

    /** Reserves capacity for several time-critical parts at once, so that a burst of them does not start one by one. */
    fun reserveForTimeCritical(next: ShapeQueue) {
        var left = MAX_NEW_RESERVATIONS
        for (job in next.jobs.take(MAX_RESERVED_JOBS)) {
            val wanted = if (job.isGang) 1 else job.pending.size
            while (left > 0 && job.reservations.size < wanted) {
                if (!planner.reserveTimeCritical(job)) return
                left--
            }
        }
    }

    private companion object {
        /** Capacity freed during a round causes another pass; what is left waits for the next round. */
        const val MAX_PASSES = 4

        /** Bounds the time of one round in a burst of urgent work; BlockedWorkPlanner continues every 100 ms. */
        const val MAX_NEW_RESERVATIONS = 16
        const val MAX_RESERVED_JOBS = 256
    }
}
