/** Care for work that waits: overdue reservations, shares to be returned, and large jobs behind small ones. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs

/**
 * Looks at a few kinds in each round, in turn, so that no single round pays for all of them.
 *
 * Each kind is looked at about every [CYCLE_MS]; nothing here depends on a single event.
 */
internal class BlockedWorkReview(
    private val clock: ClockMs,
    private val queue: WorkQueue,
    private val shares: ShareAccounts,
    private val reservations: ReservationBook,
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
            cycleSize = queue.waitingKinds.size
            cycle = queue.waitingKinds.toList().iterator()
        }
        val elapsedMs = if (lastRunMs == Long.MIN_VALUE) CYCLE_MS else (nowMs - lastRunMs).coerceIn(0, CYCLE_MS)
        lastRunMs = nowMs
        stepsLeft = (MAX_STEPS * elapsedMs / CYCLE_MS).toInt().coerceAtLeast(1)
        var kindsLeft = (cycleSize * elapsedMs / CYCLE_MS).toInt().coerceAtLeast(1)
        while (kindsLeft-- > 0 && stepsLeft > 0 && cycle.hasNext()) reviewKind(cycle.next(), nowMs)
    }

    private fun enforce(reservation: Reservation, nowMs: Long) {
        if (reservations.isFree(reservation)) {
            round.serveLater(reservation)
        } else if (!planner.enforce(reservation) && nowMs >= reservation.startAtMs + GIVE_UP_AFTER_MS) {
            reservations.drop(reservation)
        }
        reservations.checkAgain(reservation, nowMs + CHECK_AGAIN_MS)
    }

    private fun reviewKind(kind: KindQueue, nowMs: Long) {
        if (kind.waiting.isEmpty) return
        val head = kind.waiting.first().jobs.first()
        val waitedMs = nowMs - head.waitingSinceMs
        when {
            head.isPressing(nowMs) -> keepForPressing(kind, nowMs)
            head.isGang -> if (head.reservations.isEmpty()) step { planner.reserveGang(head) }
            waitedMs < KEEP_AFTER_MS -> Unit
            shares.isEntitled(kind, head.item.size) -> keepShare(kind, nowMs)
            waitedMs >= KEEP_LENT_AFTER_MS && kind.shareReservations == 0 -> step { planner.reserveOne(head) }
        }
    }

    private fun keepForPressing(kind: KindQueue, nowMs: Long) {
        kind.waiting.asSequence()
            .take(MAX_QUEUES_PER_KIND)
            .filter { it.jobs.first().isPressing(nowMs) }
            .toList()
            .forEach { if (stepsLeft > 0) step { round.reserveForAll(it) } }
    }

    private inline fun <T> step(action: () -> T): T {
        stepsLeft--
        return action()
    }

    /** Keeps room for waiting parts of [kind] up to its share: one part at a time would return the share too slowly. */
    private fun keepShare(kind: KindQueue, nowMs: Long) {
        val candidates = kind.waiting.asSequence()
            .filter { it.shape.gangParts == 0 }
            .take(MAX_QUEUES_PER_KIND)
            .flatMap { it.jobs }
            .filter { it.reservations.size < it.pending.size }
            .take(MAX_KEPT_PER_KIND)
        for (job in candidates.toList()) {
            repeat(job.pending.size - job.reservations.size) {
                val mayKeep = stepsLeft > 0 &&
                    kind.shareReservations < MAX_KEPT_PER_KIND &&
                    shares.isEntitled(kind, job.item.size)
                if (!mayKeep || !step { keepOne(job, nowMs) }) return
            }
        }
    }

    /** Running work that ends soon makes room without a disturbance; borrowers leave only if nothing else helps. */
    private fun keepOne(job: JobEntry, nowMs: Long): Boolean =
        planner.reserveOne(job, latestMs = nowMs + SOON_MS) || planner.returnShare(job) || planner.reserveOne(job)

    private companion object {
        const val CYCLE_MS = 100L
        const val MAX_STEPS = 32L
        const val MAX_QUEUES_PER_KIND = 8
        const val MAX_KEPT_PER_KIND = 64

        /** Most waits are shorter, because running work ends; kept room is idle room. */
        const val KEEP_AFTER_MS = 200L

        /** Within this time a kind below its share waits for running work rather than stopping a borrower. */
        const val SOON_MS = 5_000L

        /** A kind above its share has no claim to more, but its large jobs must not wait for ever behind small ones. */
        const val KEEP_LENT_AFTER_MS = 30_000L

        /** Longer than a checkpoint (2 s) and its repetition (after 3 s). */
        const val CHECK_AGAIN_MS = 4_000L

        /** A reservation whose room cannot be had by then is planned anew. */
        const val GIVE_UP_AFTER_MS = 10_000L
    }
}
