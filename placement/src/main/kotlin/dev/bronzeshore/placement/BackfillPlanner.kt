/** Runs short batch work in reserved capacity until the reservation is due. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources

/**
 * A part may start in reserved capacity if its deadline, now plus its declared run time, is before the start of each
 * reservation on the worker. It is preempted if it still runs then, so that backfill cannot delay a reservation.
 */
internal class BackfillPlanner(
    private val clock: ClockMs,
    private val workers: WorkerRegistry,
    private val queue: WorkQueue,
    private val starter: PartStarter,
    private val reservations: ReservationRegistry,
) {
    /** Starts one part of [blockedQueue] in reserved capacity; returns false if no worker allows it. */
    fun startOnReservedWorker(blockedQueue: ShapeQueue): Boolean {
        val nowMs = clock()
        for (worker in workers.reservedWorkersFor(blockedQueue.shape.size)) {
            val job = jobFor(blockedQueue, nowMs, neededAtMs(worker)) ?: continue
            start(job, worker, nowMs)
            return true
        }
        return false
    }

    /** Starts blocked work in the unallocated capacity of [worker], which has reservations. */
    fun fill(worker: WorkerState) {
        if (worker.reservations.isEmpty()) return
        val nowMs = clock()
        val neededAtMs = neededAtMs(worker)
        while (!starter.isFull) {
            var first: ShapeQueue? = null
            for (kind in queue.blockedKinds) {
                val fitting = kind.blocked.firstFitting(worker.unallocated, QueueState.WAITS_FOR_ROOM) {
                    jobFor(it, nowMs, neededAtMs) != null &&
                        it.kindQueue.plan.allowsBesideReserved(it.demand, Resources.NONE)
                } ?: continue
                first = KindOrder.first(first, fitting, nowMs)
            }
            val job = jobFor(first ?: return, nowMs, neededAtMs) ?: return
            start(job, worker, nowMs)
        }
    }

    /** Jobs of equal size may differ in their run time, so a few behind the first one are checked as well. */
    private fun jobFor(blockedQueue: ShapeQueue, nowMs: Long, neededAtMs: Long): JobEntry? {
        val isBackfill = blockedQueue.kindQueue.kind.policy == Policy.BATCH && blockedQueue.shape.gangParts == 0
        if (!isBackfill || nowMs + blockedQueue.shortestRunMs > neededAtMs) return null
        return blockedQueue.jobs.asSequence().take(MAX_JOBS).firstOrNull { job ->
            nowMs + job.item.declaredRunMs <= neededAtMs && job.budget.allows(job.pending.first(), nowMs)
        }
    }

    /** Start of the earliest reservation on [worker]. */
    private fun neededAtMs(worker: WorkerState): Long = worker.reservations.minOf { it.reservation.startAtMs }

    private fun start(job: JobEntry, worker: WorkerState, nowMs: Long) {
        val part = job.pending.first()
        starter.start(job, listOf(Assignment(part, worker)))
        job.running[part]?.mustEndByMs = nowMs + job.item.declaredRunMs
        reservations.trim(job)
    }

    private companion object {
        const val MAX_JOBS = 8
    }
}
