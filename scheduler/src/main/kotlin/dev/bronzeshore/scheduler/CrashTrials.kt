/**
 * Reserves workers for the starts of tasks that are suspected to crash their workers.
 *
 * Such a task starts on a worker where all other runs are proven, and nothing else starts there until the task's run is
 * proven. The reservation ends then, so that it costs the worker a fraction of a second.
 */
package dev.bronzeshore.scheduler

import kotlinx.coroutines.delay

/** Time for which a worker stays reserved for a task that does not start, because runs there are unproven. */
private const val RESERVATION_MS = 2_000L

/**
 * About this share of a service's workers is reserved at most; the others take all other work. A gang may reserve more
 * at once, as its members run on as many workers anyway.
 */
private const val MAX_RESERVED_SHARE = 0.25

/** Time for which the workers at an address are avoided after a crash there. */
private const val UNSTABLE_AFTER_CRASH_MS = 30_000L

/** A worker's reservation for the suspected tasks of a job; nothing else starts there until [untilMs]. */
internal data class TrialReservation(val job: TrackedJob, val untilMs: Long)

internal class CrashTrials(private val context: TermContext) {
    /** Ends the reservations that are no longer needed, and the suspicion against tasks that survived their start. */
    fun update(now: Long) {
        for (worker in context.workerPool.workers) {
            val job = worker.trial?.job ?: continue
            val own = worker.placements.filter { it.task.step.job === job }
            own.filter { it.isProven && it.task.crashes.isSuspected }.forEach { clear(it.task) }
            val isRunning = own.any { !it.isProven }
            val isWanted = job.isOpen && now < (worker.trial?.untilMs ?: 0) && job.hasSuspectedPendingTasks
            if (!isRunning && !isWanted) release(worker)
        }
    }

    private fun release(worker: TrackedWorker) {
        worker.trial = null
        context.wakeJournal()
    }

    private fun clear(task: TrackedTask) {
        task.crashes.clearSuspicion()
        context.log.event("crash_suspicion_cleared", "task" to task.name)
        context.markChanged(task)
    }

    /** True if a suspected task of [job] may start on [worker] now. */
    fun admits(worker: TrackedWorker, job: TrackedJob): Boolean =
        worker.trial?.job === job && worker.placements.all { it.isProven }

    /**
     * Reserves one of [candidates] for suspected tasks of [step], unless one that is reserved for them is not ready.
     * The stored roster says so before a task starts there, so that a takeover does not hide a crash. Suspected members
     * of a gang start together, so workers for all of them are reserved, or none; none either if there is no room for
     * the other members now.
     */
    fun reserve(candidates: List<PlacementCandidate>, step: TrackedStep, now: Long) {
        val job = step.job
        val workers = context.workerPool.workers.filter { it.entry.service == job.terms.service }
        if (workers.any { it.trial?.job === job && !(it.isOnRoster && admits(it, job)) }) return
        if (workers.count { it.trial != null } > workers.size * MAX_RESERVED_SHARE) return
        val usable = candidates.filter { it.hasRoom }
        val free = usable.filter { it.target.worker.trial == null }
            .sortedWith(compareBy({ isUnstable(it.target.worker, now) }, { it.target.worker.placements.size }))
        val chosen = if (step.description.isGang) placesOfGang(usable, free, step) else free.take(1)
        for (worker in chosen.map { it.target.worker }) {
            reserve(worker, job, now)
            requestProof(worker)
        }
    }

    /** Workers for the suspected members, such that those left over have room for the others. */
    private fun placesOfGang(
        usable: List<PlacementCandidate>,
        free: List<PlacementCandidate>,
        step: TrackedStep,
    ): List<PlacementCandidate> {
        val (suspected, others) = step.tasks.partition { it.crashes.isSuspected }
        val reservedPlaces = usable.filter { it.target.worker.trial?.job === step.job }.sumOf { it.places.toLong() }
        val placesOfAll = free.sumOf { it.places.toLong() }
        return listOf(free, free.sortedBy { it.places })
            .map { takePlaces(it, suspected.size - reservedPlaces) }
            .firstOrNull { chosen -> placesOfAll - chosen.sumOf { it.places.toLong() } >= others.size }
            .orEmpty()
    }

    /** The first of [candidates] that have [needed] places together; empty if all of them have fewer. */
    private fun takePlaces(candidates: List<PlacementCandidate>, needed: Long): List<PlacementCandidate> {
        var missing = needed
        val chosen = candidates.takeWhile { candidate -> (missing > 0).also { missing -= candidate.places } }
        return if (missing > 0) emptyList() else chosen
    }

    /** Reserves the worker on which a former leader has started a suspected task of [job]. */
    fun reserve(worker: TrackedWorker, job: TrackedJob, now: Long) {
        worker.trial = TrialReservation(job, now + RESERVATION_MS)
        worker.isOnRoster = false
        context.wakeJournal()
    }

    /** A worker at whose address one crashed lately may crash on its own, which would say little about the task. */
    private fun isUnstable(worker: TrackedWorker, now: Long): Boolean =
        context.workerPool.lastCrashAtMs(worker.entry.address)?.let { now - it < UNSTABLE_AFTER_CRASH_MS } ?: false

    /** Asks for a report once the runs that have just started on [worker] can be proven by it. */
    fun requestProof(worker: TrackedWorker) {
        context.launchGuarded("crash trial") {
            delay(SURVIVAL_MS)
            worker.probe()
        }
    }
}

private val TrackedJob.hasSuspectedPendingTasks: Boolean
    get() = openSteps.any { step -> step.tasks.any { it.crashes.isSuspected && !it.isDone && it.placement == null } }
