/** Uses kept room for short batch work until the room is needed. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Policy

/**
 * A part may start in kept room if its stored deadline, now plus its declared run time, comes before the deadline of
 * each reservation on the worker. If it is still there by then it is told to leave, so it cannot delay a reservation.
 */
internal class Backfill(
    private val clock: ClockMs,
    private val workers: WorkerTable,
    private val queue: WorkQueue,
    private val starter: PartStarter,
    private val reservations: ReservationBook,
) {
    /** Starts one part of [waiting] in kept room; returns false if no worker allows it. */
    fun startAnywhere(waiting: ShapeQueue): Boolean {
        val nowMs = clock()
        for (room in workers.reservedRoomFor(waiting.shape.size)) {
            val job = jobFor(room, waiting, nowMs) ?: continue
            start(job, room, nowMs)
            return true
        }
        return false
    }

    /** Starts waiting work on [room] as far as running parts leave room there. */
    fun fill(room: WorkerRoom, mayStart: (ShapeQueue) -> Boolean) {
        if (room.holds.isEmpty()) return
        val nowMs = clock()
        while (!starter.isFull) {
            var first: ShapeQueue? = null
            for (kind in queue.waitingKinds) {
                val fitting = kind.waiting.firstFitting(room.uncharged, QueueState.WAITS_FOR_ROOM) {
                    mayStart(it) && jobFor(room, it, nowMs) != null
                } ?: continue
                first = KindOrder.first(first, fitting, nowMs)
            }
            val job = jobFor(room, first ?: return, nowMs) ?: return
            start(job, room, nowMs)
        }
    }

    /** Jobs of equal size may differ in their run time, so a few behind the first one are looked at, too. */
    private fun jobFor(room: WorkerRoom, waiting: ShapeQueue, nowMs: Long): JobEntry? =
        waiting.jobs.asSequence().take(MAX_JOBS).firstOrNull { mayUse(room, it, nowMs) }

    private fun mayUse(room: WorkerRoom, job: JobEntry, nowMs: Long): Boolean = job.item.kind.policy == Policy.BATCH &&
        !job.isGang &&
        job.budget.allows(job.pending.first(), nowMs) &&
        room.holds.all { nowMs + job.item.declaredRunMs <= it.reservation.startAtMs }

    private fun start(job: JobEntry, room: WorkerRoom, nowMs: Long) {
        val part = job.pending.first()
        starter.start(job, listOf(Assignment(part, room)))
        job.running[part]?.mustEndByMs = nowMs + job.item.declaredRunMs
        reservations.trim(job)
    }

    private companion object {
        const val MAX_JOBS = 8
    }
}
