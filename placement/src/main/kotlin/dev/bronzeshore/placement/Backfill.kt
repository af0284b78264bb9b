/** Uses kept room for short batch work until the room is needed. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources

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
            val job = jobFor(waiting, nowMs, neededAtMs(room)) ?: continue
            start(job, room, nowMs)
            return true
        }
        return false
    }

    /** Starts waiting work on [room] as far as running parts leave room there. */
    fun fill(room: WorkerRoom) {
        if (room.holds.isEmpty()) return
        val nowMs = clock()
        val neededAtMs = neededAtMs(room)
        while (!starter.isFull) {
            var first: ShapeQueue? = null
            for (kind in queue.waitingKinds) {
                val fitting = kind.waiting.firstFitting(room.uncharged, QueueState.WAITS_FOR_ROOM) {
                    jobFor(it, nowMs, neededAtMs) != null && it.kindQueue.plan.mayAddBeside(it.wanted, Resources.NONE)
                } ?: continue
                first = KindOrder.first(first, fitting, nowMs)
            }
            val job = jobFor(first ?: return, nowMs, neededAtMs) ?: return
            start(job, room, nowMs)
        }
    }

    /** Jobs of equal size may differ in their run time, so a few behind the first one are looked at, too. */
    private fun jobFor(waiting: ShapeQueue, nowMs: Long, neededAtMs: Long): JobEntry? {
        val isBackfill = waiting.kindQueue.kind.policy == Policy.BATCH && waiting.shape.gangParts == 0
        if (!isBackfill || nowMs + waiting.shortestRunMs > neededAtMs) return null
        return waiting.jobs.asSequence().take(MAX_JOBS).firstOrNull { job ->
            nowMs + job.item.declaredRunMs <= neededAtMs && job.budget.allows(job.pending.first(), nowMs)
        }
    }

    /** When the first reservation on [room] needs its room. */
    private fun neededAtMs(room: WorkerRoom): Long = room.holds.minOf { it.reservation.startAtMs }

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
