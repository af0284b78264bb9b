/** Uses kept room for short batch work until the room is needed. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources

/**
 * A part may start in kept room if its stored deadline, now plus its declared run time, comes before the deadline of
 * each reservation on the worker. If it is still there by then it is told to leave, so it cannot delay a reservation.
 */
internal class BackfillPlanner(
    private val clock: ClockMs,
    private val workers: WorkerRegistry,
    private val queue: WorkQueue,
    private val starter: PartStarter,
    private val reservations: ReservationRegistry,
) {
    /** Starts one part of [waiting] in kept room; returns false if no worker allows it. */
    fun startOnReservedWorker(blockedQueue: ShapeQueue): Boolean {
        val nowMs = clock()
        for (worker in workers.reservedWorkersFor(blockedQueue.shape.size)) {
            val job = jobFor(blockedQueue, nowMs, neededAtMs(worker)) ?: continue
            start(job, worker, nowMs)
            return true
        }
        return false
    }

    /** Starts waiting work on [room] as far as running parts leave room there. */
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

    /** Jobs of equal size may differ in their run time, so a few behind the first one are looked at, too. */
    private fun jobFor(blockedQueue: ShapeQueue, nowMs: Long, neededAtMs: Long): JobEntry? {
        val isBackfill = blockedQueue.kindQueue.kind.policy == Policy.BATCH && blockedQueue.shape.gangParts == 0
        if (!isBackfill || nowMs + blockedQueue.shortestRunMs > neededAtMs) return null
        return blockedQueue.jobs.asSequence().take(MAX_JOBS).firstOrNull { job ->
            nowMs + job.item.declaredRunMs <= neededAtMs && job.budget.allows(job.pending.first(), nowMs)
        }
    }

    /** When the first reservation on [room] needs its room. */
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
