/** Enforces due reservations, and reserves capacity for blocked work that is entitled to it or waits too long. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs

/**
 * Reviews a few kinds in each round, in turn, so that no single round bears the cost of all of them.
 *
 * Each kind is reviewed about every [CYCLE_MS], so a missed event cannot leave work blocked.
 */
internal class BlockedWorkPlanner(
    private val clock: ClockMs,
    private val queue: WorkQueue,
    private val shares: FairShareTracker,
    private val reservations: ReservationRegistry,
    private val planner: ReservationPlanner,
    private val round: RoundPlanner,
) {
    private var cycle: Iterator<KindQueue> = emptyList<KindQueue>().iterator()
    private var cycleSize: Int = 0
    private var nextCycleMs: Long = Long.MIN_VALUE
    private var lastRunMs: Long = Long.MIN_VALUE
    private var stepsLeft: Int = 0

    fun run() {
        val nowMs = clock()
        reservations.due(nowMs).forEach { enforce(it, nowMs) }
        if (!cycle.hasNext()) {
            if (nowMs < nextCycleMs) return
            nextCycleMs = nowMs + CYCLE_MS
            cycleSize = queue.blockedKinds.size
            cycle = queue.blockedKinds.toList().iterator()
        }
        val elapsedMs = if (lastRunMs == Long.MIN_VALUE) CYCLE_MS else (nowMs - lastRunMs).coerceIn(0, CYCLE_MS)
        lastRunMs = nowMs
        stepsLeft = (MAX_STEPS * elapsedMs / CYCLE_MS).toInt().coerceAtLeast(1)
        var kindsLeft = (cycleSize * elapsedMs / CYCLE_MS).toInt().coerceAtLeast(1)
        while (kindsLeft-- > 0 && stepsLeft > 0 && cycle.hasNext()) reviewKind(cycle.next(), nowMs)
    }

    private fun enforce(reservation: Reservation, nowMs: Long) {
        if (reservations.isCapacityFree(reservation)) {
            round.markForServing(reservation)
        } else if (!planner.enforce(reservation) && nowMs >= reservation.startAtMs + DISCARD_AFTER_MS) {
            reservations.remove(reservation)
        }
        reservations.rescheduleCheck(reservation, nowMs + RECHECK_AFTER_MS)
    }

    private fun reviewKind(kind: KindQueue, nowMs: Long) {
        if (kind.blocked.isEmpty) return
        val head = kind.blocked.first().jobs.first()
        val waitedMs = nowMs - head.waitingSinceMs
        when {
            head.isTimeCritical(nowMs) -> reserveTimeCritical(kind, nowMs)
            head.isGang -> if (head.reservations.isEmpty()) step { planner.reserveGang(head) }
            waitedMs < RESERVE_AFTER_MS -> Unit
            shares.isWithinShare(kind, head.item.size) -> reserveShare(kind, nowMs)
            waitedMs >= RESERVE_ABOVE_SHARE_AFTER_MS && kind.shareReservations == 0 -> step { planner.reserveOne(head) }
        }
    }

    private fun reserveTimeCritical(kind: KindQueue, nowMs: Long) {
        kind.blocked.asSequence()
            .take(MAX_QUEUES_PER_KIND)
            .filter { it.jobs.first().isTimeCritical(nowMs) }
            .toList()
            .forEach { if (stepsLeft > 0) step { round.reserveForTimeCritical(it) } }
    }

    private inline fun <T> step(action: () -> T): T {
        stepsLeft--
        return action()
    }

    /** Reserves capacity for blocked parts of [kind] up to its share; one part at a time would be too slow. */
    private fun reserveShare(kind: KindQueue, nowMs: Long) {
        val candidates = kind.blocked.asSequence()
            .filter { it.shape.gangParts == 0 }
            .take(MAX_QUEUES_PER_KIND)
            .flatMap { it.jobs }
            .filter { it.reservations.size < it.pending.size }
            .take(MAX_SHARE_RESERVATIONS_PER_KIND)
        for (job in candidates.toList()) {
            repeat(job.pending.size - job.reservations.size) {
                val mayReserve = stepsLeft > 0 &&
                    kind.shareReservations < MAX_SHARE_RESERVATIONS_PER_KIND &&
                    shares.isWithinShare(kind, job.item.size)
                if (!mayReserve || !step { reserveOnePart(job, nowMs) }) return
            }
        }
    }

    /** Prefers capacity of running work that ends soon, so that borrowers are preempted only if nothing else helps. */
    private fun reserveOnePart(job: JobEntry, nowMs: Long): Boolean =
        planner.reserveOne(job, latestMs = nowMs + MAX_WAIT_BEFORE_RECLAIM_MS) ||
            planner.reclaimShare(job) ||
            planner.reserveOne(job)

    private companion object {
        const val CYCLE_MS = 100L
        const val MAX_STEPS = 32L
        const val MAX_QUEUES_PER_KIND = 8
        const val MAX_SHARE_RESERVATIONS_PER_KIND = 64

        /** Most waits are shorter because running work ends, and reserved capacity is idle. */
        const val RESERVE_AFTER_MS = 200L

        /** A kind below its share waits this long for running work to end rather than preempt a borrower. */
        const val MAX_WAIT_BEFORE_RECLAIM_MS = 5_000L

        /** A kind above its share is not entitled to more, but its large jobs must not starve behind small ones. */
        const val RESERVE_ABOVE_SHARE_AFTER_MS = 30_000L

        /** Longer than a checkpoint (2 s) and its retry (after 3 s). */
        const val RECHECK_AFTER_MS = 4_000L

        /** A reservation whose capacity cannot be freed by then is removed and planned again. */
        const val DISCARD_AFTER_MS = 10_000L
    }
}
