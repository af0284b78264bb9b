/** Periodic care for work that waits: overdue reservations, shares to be returned, and large jobs behind small ones. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs

internal class BlockedWorkReview(
    private val clock: ClockMs,
    private val book: JobBook,
    private val reservations: ReservationBook,
    private val planner: ReservationPlanner,
    private val preemptions: PreemptionPlanner,
    private val round: RoundPlanner,
) {
    private var nextAtMs: Long = Long.MIN_VALUE

    /** Runs at most once each [EVERY_MS], because nothing here depends on a single event. */
    fun runIfDue() {
        val nowMs = clock()
        if (nowMs < nextAtMs) return
        nextAtMs = nowMs + EVERY_MS
        preemptions.repeatLost()
        reservations.snapshot().filter { it.nextOrderMs <= nowMs }.forEach { enforce(it, nowMs) }
        for (plan in book.plans.values) {
            plan.kinds.values.forEach { reviewKind(it, nowMs) }
        }
    }

    private fun enforce(reservation: Reservation, nowMs: Long) {
        if (reservations.isFree(reservation) || planner.enforce(reservation)) return
        if (nowMs >= reservation.startAtMs + GIVE_UP_AFTER_MS) reservations.drop(reservation)
    }

    private fun reviewKind(kind: KindQueue, nowMs: Long) {
        val queue = firstBlocked(kind) ?: return
        val head = queue.jobs.first()
        val waitedMs = nowMs - (head.blockedSinceMs ?: nowMs)
        when {
            head.isPressing(nowMs) -> round.reserveForAll(queue)
            head.isGang -> if (head.reservations.isEmpty()) planner.reserveGang(head)
            kind.hasShareReservation -> Unit
            kind.isUnderShare && waitedMs >= RETURN_AFTER_MS && planner.returnShare(head) -> Unit
            waitedMs >= (if (kind.isUnderShare) KEEP_AFTER_MS else KEEP_LENT_AFTER_MS) -> planner.reserveOne(head)
        }
    }

    private fun firstBlocked(kind: KindQueue): ShapeQueue? {
        var first: ShapeQueue? = null
        for (queue in kind.shapes.values) {
            if (queue.state == QueueState.WAITS_FOR_ROOM && (first == null || queue < first)) first = queue
        }
        return first
    }

    private companion object {
        const val EVERY_MS = 100L

        /** Short waits end by themselves when running work ends; kept room is idle room. */
        const val KEEP_AFTER_MS = 1_000L

        /** Stopping borrowers costs them work, so running work gets this long to make room by ending. */
        const val RETURN_AFTER_MS = 2_000L

        /** A kind above its share has no claim to more, but its large jobs must not wait for ever behind small ones. */
        const val KEEP_LENT_AFTER_MS = 30_000L

        /** A reservation whose room cannot be had by then is planned anew. */
        const val GIVE_UP_AFTER_MS = 10_000L
    }
}
