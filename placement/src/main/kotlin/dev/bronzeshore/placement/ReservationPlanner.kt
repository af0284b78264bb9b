/** Decides where capacity is reserved for work that does not fit now. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Resources

internal class ReservationPlanner(
    private val clock: ClockMs,
    private val workers: WorkerRegistry,
    private val shares: FairShareTracker,
    private val reservations: ReservationRegistry,
    private val preemptions: PreemptionPlanner,
) {
    /** Reserves capacity for one part of [job], or for all parts of a gang, and preempts other parts at once. */
    fun reserveTimeCritical(job: JobEntry): Boolean {
        if (job.isGang && job.kindQueue.plan.reservedGang != null) return false
        val parts = if (job.isGang) job.pending.size else 1
        if (!mayReserveTimeCritical(job, parts)) return false
        val freedBefore = workers.freedWorkers.toSet()
        val nowMs = clock()
        val reservation = reservations.open(job, ReservationPurpose.URGENT, nowMs, nowMs + RECHECK_AFTER_MS)
        val victims = ArrayList<RunningPart>()
        for (part in 0 until parts) {
            val chosen = chooseWorker(job)
            if (chosen == null) {
                victims.forEach { unmarkStopping(it) }
                reservations.remove(reservation)
                // Capacity that was reserved only here must not count as freed, or the job would be retried endlessly.
                workers.freedWorkers.retainAll(freedBefore)
                return false
            }
            chosen.victims.forEach { markStopping(it) }
            victims.addAll(chosen.victims)
            reservations.reserve(reservation, chosen.worker, 1)
        }
        victims.forEach { unmarkStopping(it) }
        preemptions.preempt(victims)
        return true
    }

    /** A burst of urgent work above its share must not reserve the capacity that others are entitled to. */
    private fun mayReserveTimeCritical(job: JobEntry, parts: Int): Boolean =
        job.kindQueue.timeCriticalReservations < MAX_TIME_CRITICAL_ABOVE_SHARE ||
            shares.isUrgentWithinShare(job.kindQueue, job.item.size * parts)

    /** Reserves capacity for all parts of a gang where running parts are expected to end first. */
    fun reserveGang(job: JobEntry): Boolean =
        job.kindQueue.plan.reservedGang == null && reserveByExpectedEnds(job, ReservationPurpose.GANG, job.pending.size)

    /** Reserves capacity for one part of [job] where running parts are expected to end first, by [latestMs]. */
    fun reserveOne(job: JobEntry, latestMs: Long = Long.MAX_VALUE): Boolean =
        reserveByExpectedEnds(job, ReservationPurpose.SHARE, 1, latestMs)

    /** Reserves capacity for one part of [job] and preempts parts that run on a borrowed share. */
    fun reclaimShare(job: JobEntry): Boolean {
        val rule = preemptions.shareRule(job)
        val borrowers = shares.borrowers().filter { it !== job.kindQueue }
        val chosen = cheapest(job, preemptions.workersOfNewestParts(borrowers), rule) ?: return false
        val nowMs = clock()
        val reservation = reservations.open(job, ReservationPurpose.SHARE, nowMs, nowMs + RECHECK_AFTER_MS)
        reservations.reserve(reservation, chosen.worker, 1)
        preemptions.preempt(chosen.victims)
        return true
    }

    /** Preempts parts that still occupy [reservation]; returns false if its capacity cannot be freed. */
    fun enforce(reservation: Reservation): Boolean {
        val rule = when (reservation.purpose) {
            ReservationPurpose.URGENT -> preemptions.timeCriticalRule(reservation.job)
            ReservationPurpose.GANG -> preemptions.gangRule(reservation.job)
            ReservationPurpose.SHARE -> preemptions.shareRule(reservation.job)
        }
        val victims = LinkedHashSet<RunningPart>()
        for (workerReservation in reservation.workerReservations) {
            val available = reservations.availableTo(workerReservation) + workerReservation.worker.stopping
            val chosen =
                preemptions.chooseVictims(workerReservation.worker, workerReservation.size, available, rule)
                    ?: return false
            victims.addAll(chosen)
        }
        preemptions.preempt(victims.toList())
        val size = reservation.job.item.size * reservation.workerReservations.sumOf { it.parts }
        val ofPlan = preemptions.chooseVictimsOfPlan(reservation.job.kindQueue.plan, size, rule) ?: return false
        preemptions.preempt(ofPlan)
        return true
    }

    private class PreemptionChoice(val worker: WorkerState, val victims: List<RunningPart>)

    private fun chooseWorker(job: JobEntry): PreemptionChoice? {
        val rule = preemptions.timeCriticalRule(job)
        return cheapest(job, workers.reclaimableFor(job.item.size), rule)
            ?: cheapest(
                job,
                preemptions.workersOfNewestParts(shares.borrowers() + job.kindQueue.plan.kinds.values),
                rule,
            )
    }

    /** At its plan's limit, only parts of the same plan are preempted: that also frees some of the limit. */
    private fun cheapest(
        job: JobEntry,
        candidates: List<WorkerState>,
        rule: (RunningPart) -> Boolean,
    ): PreemptionChoice? {
        val plan = job.kindQueue.plan
        val size = job.item.size
        val isLimited = !plan.allowsBesideReserved(size, Resources.NONE)
        val limitedRule: (RunningPart) -> Boolean = { it.job.kindQueue.plan === plan && rule(it) }
        return candidates
            .filter { it.accepting && size.fitsIn(it.capacity - it.reserved) }
            .mapNotNull { worker ->
                val available = preemptions.availableOn(worker)
                val victims = if (isLimited) {
                    preemptions.chooseVictims(worker, size, available.coerceAtMost(Resources.NONE), limitedRule)
                } else {
                    preemptions.chooseVictims(worker, size, available, rule)
                }
                victims?.let { PreemptionChoice(worker, it) }
            }
            .minByOrNull { PreemptionPlanner.cost(it.victims) }
    }

    private fun reserveByExpectedEnds(
        job: JobEntry,
        purpose: ReservationPurpose,
        parts: Int,
        latestMs: Long = Long.MAX_VALUE,
    ): Boolean {
        val nowMs = clock()
        val size = job.item.size
        val candidates = workers.withMostFreeProcessors(size, parts * WORKERS_PER_PART + MIN_WORKERS)
        val chosen = candidates.flatMap { CapacityForecast.of(it, size, parts, nowMs) }.sortedBy { it.atMs }.take(parts)
        if (chosen.size < parts || chosen.last().atMs > latestMs) return false
        val startAtMs = minOf(chosen.last().atMs, nowMs + MAX_WAIT_MS)
        val reservation = reservations.open(job, purpose, startAtMs)
        for ((worker, starts) in chosen.groupBy { it.worker }) reservations.reserve(reservation, worker, starts.size)
        // Capacity that is free already is used in this round, not at the next check.
        if (startAtMs <= nowMs) reservation.workerReservations.forEach { workers.freedWorkers.add(it.worker) }
        return true
    }

    /** Makes a part count as stopping while further workers of the same reservation are chosen. */
    private fun markStopping(part: RunningPart) {
        part.preemptedAtMs = clock()
        part.worker.stopping += part.allocation
    }

    private fun unmarkStopping(part: RunningPart) {
        part.preemptedAtMs = null
        part.worker.stopping -= part.allocation
    }

    private companion object {
        const val WORKERS_PER_PART = 4
        const val MIN_WORKERS = 8

        /** Longer than a checkpoint (2 s) and its retry (after 3 s). */
        const val RECHECK_AFTER_MS = 4_000L

        /** A reservation of an urgent burst serves one part in 2 s, which takes next to nothing from other kinds. */
        const val MAX_TIME_CRITICAL_ABOVE_SHARE = 2

        /** Bounds the wait behind work whose declared end is far away; batch work that still runs then is preempted. */
        const val MAX_WAIT_MS = 600_000L
    }
}

private fun Resources.coerceAtMost(bound: Resources): Resources = Resources(
    minOf(processorsMillicores, bound.processorsMillicores),
    minOf(memoryBytes, bound.memoryBytes),
    minOf(accelerators, bound.accelerators),
)
