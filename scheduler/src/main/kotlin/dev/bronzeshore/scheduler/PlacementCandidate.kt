/** Cost of running a task of a step on a worker, and the room that is left there while the step is placed. */
package dev.bronzeshore.scheduler

/** Weight of a worker's slowness against the share of its processors that would stay unused. */
private const val SLOWNESS_WEIGHT = 4.0

/** Weight of the speed of a worker that is faster than a step needs. */
private const val UNNEEDED_SPEED_WEIGHT = 1.0

/**
 * Only steps with at least this much slack leave fast workers to others, as a multiple of the estimated time;
 * estimates are too inaccurate to tell smaller slack.
 */
private const val MIN_SLACK_FACTOR = 1.8

/** Shorter estimates are raised to this: the start request and the report alone take tens of milliseconds. */
private const val MIN_CRITICAL_PATH_MS = 300L

/** Weight of running on another rack than the input data. */
private const val REMOTE_WEIGHT = 2.0

/** Weight of a worker that a gang has reserved: more urgent steps may use it, but leave it to the gang if they can. */
private const val RESERVED_WEIGHT = 1.5

/** Weight of a worker on which the task has failed before. */
private const val FAILED_BEFORE_WEIGHT = 8.0

/** Parts of the cost that are the same for all tasks of [step]. */
internal class PlacementCosts(private val step: TrackedStep, private val now: Long) {
    private val maxSlowness = maxSlowness()
    private val ticketWaitCost = ticketWaitCost()

    fun baseCost(target: RoundWorker): Double {
        val worker = target.worker
        val isRemote = step.description.dataRack?.let { it !in worker.entry.labels } ?: false
        val needsTicket = ticketWaitCost > 0 && !step.advice.hasOrExpectsTicket(worker.incarnation, now)
        val isReserved = target.reservedFor.any { it !== step }
        return speedCost(target.slowness) + (if (isRemote) REMOTE_WEIGHT else 0.0) +
            (if (needsTicket) ticketWaitCost else 0.0) + (if (isReserved) RESERVED_WEIGHT else 0.0)
    }

    /** How slow a worker may be, relative to a typical one, for the step's job to end within its objective. */
    private fun maxSlowness(): Double {
        val criticalPathMs = step.job.remainingCriticalPathMs(step).coerceAtLeast(MIN_CRITICAL_PATH_MS)
        return (step.job.objectiveAtMs - now) / (criticalPathMs * ESTIMATE_MARGIN)
    }

    /** Among sufficiently fast workers, slower ones cost less, which leaves fast ones to tighter objectives. */
    private fun speedCost(slowness: Double): Double = if (maxSlowness >= MIN_SLACK_FACTOR && slowness <= maxSlowness) {
        UNNEEDED_SPEED_WEIGHT / slowness
    } else {
        SLOWNESS_WEIGHT * slowness
    }

    /** A start that waits for a new ticket ends as late as one on a worker that is slower by the time of the call. */
    private fun ticketWaitCost(): Double = step.job.terms.advice?.let {
        SLOWNESS_WEIGHT * it.decisionMs / step.description.estimateMs.coerceAtLeast(MIN_CRITICAL_PATH_MS)
    } ?: 0.0
}

/** [usesKept] if the step may use capacity that is kept for others. */
internal class PlacementCandidate(val target: RoundWorker, step: TrackedStep, usesKept: Boolean = false) {
    private val demand = step.taskDemand
    private val capacityMillicores = target.worker.entry.capacity.processorsMillicores.coerceAtLeast(1).toDouble()

    /** Tasks of the step that the worker takes. */
    val places = target.placesFor(step, target.roomFor(step, usesKept))
    private var taken = 0
    var baseCost = 0.0

    val hasRoom: Boolean get() = taken < places

    fun take() {
        taken++
    }

    /** Forgets what was taken, for another try. */
    fun release() {
        taken = 0
    }

    /** The cost favours workers on which little capacity stays unused. */
    fun costFor(task: TrackedTask): Double {
        val leftOver = target.free.processorsMillicores - (taken + 1) * demand.processorsMillicores
        return baseCost + leftOver / capacityMillicores +
            (if (target.worker.id in task.failedOn) FAILED_BEFORE_WEIGHT else 0.0)
    }
}
