/**
 * Keeps capacity for gangs in a planning round, and bounds how long others wait for it.
 *
 * Backfilling: a gang reserves places from the time at which the last of them is expected to be free. Tasks that are
 * likely to end before that time may use them. Nothing is kept for a gang that does not fit on the workers, or that
 * waits for runs whose end is not known. Since estimates are often wrong, a reservation is bounded in time, and a step
 * that only kept capacity keeps from starting uses it after a short time, unless the service is busy: there, work that
 * never lets a gang start would come in without end.
 */
package dev.bronzeshore.scheduler

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Resources

/** Gangs may reserve this share of a service's workers; more would leave too much capacity idle. */
private const val MAX_RESERVED_SHARE = 0.25

/** On a small fleet, so many gangs may reserve capacity whatever their share is. */
private const val MIN_GANG_RESERVATIONS = 3

/** All gangs but the first one of a service leave this share of its workers open. */
private const val MIN_OPEN_SHARE = 0.25

/** Time after which a step uses capacity that is kept for others. */
private const val MAX_KEPT_OUT_MS = 2_000L

/** A service is busy from this share of its processors on. */
private const val BUSY_SHARE = 0.5

/** Workers that a gang has reserved are preferred as if their places were free so much sooner. */
private const val KEPT_PLACE_BONUS_MS = 1_000L

/** What is reserved on a service's workers in a round; a half-reserved worker counts as 0.5 in [workers]. */
private data class ServiceReservations(val gangs: Int = 0, val workers: Double = 0.0)

internal class CapacityKeeper(
    private val context: TermContext,
    private val now: Long,
    private val budget: AccountBudget,
) {
    private val reservedOf = HashMap<String, ServiceReservations>()
    private val isBusy = HashMap<String, Boolean>()
    private val endlessUsage = HashMap<String, Resources>()
    private val waits = HashMap<GangWait, Int>()

    /** Services in which a step uses kept capacity in this round. */
    private val servicesWithUse = HashSet<String>()

    /** What the gangs wait for, with their numbers. */
    val gangWaits: Map<GangWait, Int> get() = waits

    fun countWait(step: TrackedStep, reason: GangWait) {
        waits.merge(reason, 1, Int::plus)
        if (reason != GangWait.ROOM && reason != GangWait.UNKNOWN_END) return
        if (!step.isNewWait(reason)) return
        if (reason == GangWait.ROOM) context.metrics.planning.gangWithoutRoom()
        context.log.event("gang_cannot_start", "step" to step.name, "reason" to reason, "members" to step.tasks.size)
    }

    /**
     * Reserves places for the [count] tasks of a gang on workers that may run it; empty if nothing is kept for it.
     * [serviceWorkers] is the number of the service's workers that accept tasks.
     */
    fun reserve(step: TrackedStep, count: Int, good: List<RoundWorker>, serviceWorkers: Int): List<ExpectedPlace> {
        val former = reservedOf[step.job.terms.service] ?: ServiceReservations()
        val isShareUsed = former.workers >= MAX_RESERVED_SHARE * serviceWorkers
        val places = if (former.gangs >= MIN_GANG_RESERVATIONS && isShareUsed) {
            GangWait.SHARE.left()
        } else {
            choosePlaces(step, count, good)
        }
        return places.flatMap { reserve(step, it, former, serviceWorkers) }.fold(
            ifLeft = { reason ->
                step.reservations?.end()
                countWait(step, reason)
                emptyList()
            },
            ifRight = { it },
        )
    }

    private fun reserve(
        step: TrackedStep,
        places: List<ExpectedPlace>,
        former: ServiceReservations,
        serviceWorkers: Int,
    ): Either<GangWait, List<ExpectedPlace>> {
        val byWorker = places.groupingBy { it.target }.eachCount()
        val workers = former.workers + byWorker.entries.sumOf { (target, members) ->
            members.toDouble() / target.placesWhenIdle(step).coerceAtLeast(1)
        }
        val leavesWorkersOpen = workers <= (1 - MIN_OPEN_SHARE) * serviceWorkers
        if (former.gangs > 0 && !leavesWorkersOpen) return GangWait.SHARE.left()
        val reservation = renew(step, places.maxOf { it.atMs }, byWorker.size) ?: return GangWait.PAUSE.left()
        countWait(step, GangWait.WORKERS)
        reservedOf[step.job.terms.service] = ServiceReservations(former.gangs + 1, workers)
        budget.keep(step, places.size)
        step.keepRank(now)
        for ((target, members) in byWorker) {
            target.keep(step, members, reservation.startAtMs)
            target.worker.reserveFor(step)
        }
        return places.right()
    }

    /** The [count] places where the gang is expected to end first, or why there are none. */
    private fun choosePlaces(
        step: TrackedStep,
        count: Int,
        good: List<RoundWorker>,
    ): Either<GangWait, List<ExpectedPlace>> {
        if (good.sumOf { it.placesWhenIdle(step).coerceIn(0, count).toLong() } < count) return GangWait.ROOM.left()
        val estimateMs = step.description.estimateMs
        val places = good.flatMap { it.expectedPlaces(step, count) }.sortedBy { place ->
            val bonusMs = if (step in place.target.reservedFor) KEPT_PLACE_BONUS_MS else 0
            place.atMs + (estimateMs * place.target.slowness).toLong() - bonusMs
        }
        return if (places.size < count) GangWait.UNKNOWN_END.left() else places.take(count).right()
    }

    private fun renew(step: TrackedStep, startAtMs: Long, workers: Int): GangReservation? {
        val reservations = checkNotNull(step.reservations) { "step ${step.name} is not a gang" }
        val former = reservations.current
        val reservation = reservations.renew(now, startAtMs)
        if (reservation != null && reservation !== former) {
            step.isNewWait(null)
            context.log.event(
                "gang_reserved",
                "step" to step.name,
                "members" to step.tasks.size,
                "workers" to workers,
                "start_in_ms" to startAtMs - now,
                "until_in_ms" to reservation.untilMs - now,
            )
        }
        return reservation
    }

    /** Keeps what is left of the account's limit for a gang that will fit in it; its tasks wait for that alone. */
    fun keepLimit(step: TrackedStep, count: Int) {
        if (!budget.fitsBeside(step, count, endlessUsageOf(step.job.accepted.account))) return
        renew(step, startAtMs = now, workers = 0) ?: return
        step.keepRank(now)
        budget.keepAll(step)
    }

    private fun endlessUsageOf(account: String?): Resources {
        if (account == null) return Resources.NONE
        return endlessUsage.getOrPut(account) {
            context.workerPool.workers.flatMap { it.placements }
                .filter { it.task.step.job.accepted.account == account && it.expectedEndMs(1.0, now) == null }
                .fold(Resources.NONE) { sum, placement -> sum + placement.task.step.accountDemand }
        }
    }

    /**
     * True if the step may use kept capacity: nothing else keeps it from starting, and it has waited long enough. One
     * step of a service does so in a round; otherwise a backlog takes all that gangs have collected at once.
     */
    fun hasWaitedEnough(step: TrackedStep, workers: List<RoundWorker>): Boolean {
        if (step.noteKeptOut(now) < MAX_KEPT_OUT_MS) return false
        if (step.description.isService) return true
        if (isBusy.getOrPut(step.job.terms.service) { areBusy(workers) }) return false
        return servicesWithUse.add(step.job.terms.service)
    }

    private fun areBusy(workers: List<RoundWorker>): Boolean {
        val capacity = workers.sumOf { it.worker.entry.capacity.processorsMillicores }
        val used = capacity - workers.sumOf { it.free.processorsMillicores }
        return used > 0 && used >= BUSY_SHARE * capacity
    }

    fun logUseOfKept(step: TrackedStep, workers: List<RoundWorker>) = context.log.event(
        "kept_capacity_used",
        "step" to step.name,
        "worker" to workers.firstOrNull()?.worker?.id,
        "kept_for" to workers.flatMapTo(LinkedHashSet()) { it.keptFor }.map { it.name },
    )
}
