/**
 * Decides which tasks start where.
 *
 * A planning round goes through the waiting steps in order of urgency and places each task on the allowed worker with
 * the lowest cost, which favours fast workers and leaves little capacity unused. A gang starts as a whole or not at
 * all; while it waits, it reserves free capacity against later steps, so that a stream of small tasks cannot starve it.
 */
package dev.bronzeshore.scheduler

/** Gangs that reserve capacity at the same time; more would leave too many workers idle. */
private const val MAX_GANG_RESERVATIONS = 3

/**
 * Time for which a waiting gang keeps its rank although it has become late. Without it, capacity that the gang had
 * partly collected goes to newer small tasks, and a gang never starts while all workers are busy.
 */
private const val GANG_RESERVATION_MS = 5_000L

/** Weight of a worker's slowness against the share of its processors that would stay unused. */
private const val SLOWNESS_WEIGHT = 4.0

/** Weight of the speed of a worker that is faster than a step needs. */
private const val UNNEEDED_SPEED_WEIGHT = 1.0

/**
 * Only steps with at least this much slack leave fast workers to others, as a multiple of the estimated time;
 * estimates are too inaccurate to tell smaller slack.
 */
private const val MIN_SLACK_FACTOR = 1.8

/** Factor by which run times often exceed their estimates. */
private const val ESTIMATE_MARGIN = 1.6

/** Shorter estimates are raised to this: the start request and the report alone take tens of milliseconds. */
private const val MIN_CRITICAL_PATH_MS = 300L

/** Weight of running on another rack than the input data. */
private const val REMOTE_WEIGHT = 2.0

/** Weight of a worker on which the task has failed before. */
private const val FAILED_BEFORE_WEIGHT = 8.0

/** Run numbers of a term start above those of all earlier terms, as starts are not stored. */
private const val RUNS_PER_TERM = 10_000L

/** The starts of a round and the steps that need advice tickets before they can start. */
internal class Plan(val starts: List<PlannedStart>, val adviceNeeded: List<TrackedStep>)

internal class Planner(
    private val context: TermContext,
    /** False while runs of the job that a former leader started may exist without this leader knowing them. */
    private val mayStart: (TrackedJob) -> Boolean,
) {
    private val workerPool get() = context.workerPool

    fun plan(): Plan {
        val now = context.clock()
        val round = Round(now)
        rankedSteps(now).forEach { round.place(it.step) }
        return Plan(round.starts, round.adviceNeeded)
    }

    private fun rankedSteps(now: Long): List<RankedStep> {
        val wallClockMs = context.wallClock()
        val ranked = ArrayList<RankedStep>()
        for (job in context.jobRegistry.openJobs) {
            if (!mayStart(job)) continue
            for (step in job.steps) {
                val delayMs = step.dueAtMs?.let { (it - job.accepted.acceptedAtMs).coerceAtLeast(0) } ?: 0
                val isDue = step.dueAtMs?.let { wallClockMs >= it } ?: true
                if (isDue && step.isUnblocked && step.pendingTasks.isNotEmpty()) ranked += rank(step, now, delayMs)
            }
        }
        return ranked.sortedWith(STEP_ORDER)
    }

    /** Workers that accept tasks now and may run the step, whether they have free capacity or not. */
    fun eligibleWorkers(step: TrackedStep, nowMs: Long): List<TrackedWorker> =
        workerPool.accepting(step.job.terms.service, nowMs).filter { step.allows(it) }

    private fun TrackedStep.allows(worker: TrackedWorker): Boolean {
        val label = description.requiredLabel
        return (label == null || label in worker.entry.labels) && taskDemand.fitsIn(worker.entry.capacity)
    }

    private inner class Round(private val now: Long) {
        private val freeCapacity = FreeCapacity()
        private val eligibleByService = HashMap<String, List<TrackedWorker>>()
        private val tasksWithStrayRuns = workerPool.tasksWithStrayRuns()
        private var gangReservations = 0
        val starts = ArrayList<PlannedStart>()
        val adviceNeeded = ArrayList<TrackedStep>()

        fun place(step: TrackedStep) {
            val tasks = step.pendingTasks.filter { it.notBeforeMs <= now && it.name !in tasksWithStrayRuns }
            if (tasks.isEmpty() || step.description.isGang && tasks.size < step.tasks.size) return
            val workers = acceptingWorkers(step)
            if (step.job.terms.advice != null &&
                workers.any { !step.advice.isAsked(it.incarnation) } &&
                !step.advice.isKnown
            ) {
                adviceNeeded += step
                return
            }
            val assignments = assign(step, tasks, workers)
            when {
                assignments.size == tasks.size -> startOrRequestAdvice(step, assignments)
                step.description.isGang -> reserveForGang(step, tasks.size, workers)
                assignments.isNotEmpty() -> startOrRequestAdvice(step, assignments)
                step.needsMoreAdvice(workers) -> adviceNeeded += step
            }
        }

        private fun TrackedStep.needsMoreAdvice(workers: List<TrackedWorker>) =
            job.terms.advice != null && workers.any { !advice.isAsked(it.incarnation) }

        private fun acceptingWorkers(step: TrackedStep): List<TrackedWorker> {
            val service = step.job.terms.service
            return eligibleByService.getOrPut(service) { workerPool.accepting(service, now) }.filter { step.allows(it) }
        }

        /** Picks a worker for each task, as far as capacity lasts; fewer than all tasks of a gang are not started. */
        private fun assign(
            step: TrackedStep,
            tasks: List<TrackedTask>,
            workers: List<TrackedWorker>,
        ): List<Pair<TrackedTask, TrackedWorker>> {
            val allowed = workers.filter { step.job.terms.advice == null || step.advice.mayRunOn(it.incarnation) }
            val remaining = FreeCapacity().also { copied ->
                allowed.forEach { copied.reserve(it, it.free - freeCapacity.free(it)) }
            }
            val tasksOnWorker = HashMap<TrackedWorker, Int>()
            step.tasks.mapNotNull { it.placement?.worker }.forEach { tasksOnWorker.merge(it, 1, Int::plus) }
            val limit = step.description.maxPerWorker.takeIf { it > 0 } ?: Int.MAX_VALUE
            val maxSlowness = maxSlowness(step)
            val result = ArrayList<Pair<TrackedTask, TrackedWorker>>()
            for (task in tasks) {
                val worker = allowed
                    .filter { remaining.countFitting(it, step.taskDemand) > 0 && (tasksOnWorker[it] ?: 0) < limit }
                    .minByOrNull { cost(task, it, remaining, maxSlowness) } ?: break
                remaining.reserve(worker, step.taskDemand)
                tasksOnWorker.merge(worker, 1, Int::plus)
                result += task to worker
            }
            return result
        }

        /** How slow a worker may be, relative to a typical one, for the step's job to end within its objective. */
        private fun maxSlowness(step: TrackedStep): Double {
            val criticalPathMs = step.job.remainingCriticalPathMs(step).coerceAtLeast(MIN_CRITICAL_PATH_MS)
            return (step.job.objectiveAtMs - now) / (criticalPathMs * ESTIMATE_MARGIN)
        }

        /** Among sufficiently fast workers, slower ones cost less, which leaves fast ones to tighter objectives. */
        private fun speedCost(worker: TrackedWorker, maxSlowness: Double): Double {
            val slowness = workerPool.speeds.slownessOf(worker)
            return if (maxSlowness >= MIN_SLACK_FACTOR && slowness <= maxSlowness) {
                UNNEEDED_SPEED_WEIGHT / slowness
            } else {
                SLOWNESS_WEIGHT * slowness
            }
        }

        private fun cost(
            task: TrackedTask,
            worker: TrackedWorker,
            remaining: FreeCapacity,
            maxSlowness: Double,
        ): Double {
            val description = task.step.description
            val capacity = worker.entry.capacity.processorsMillicores.coerceAtLeast(1)
            val leftOver =
                (remaining.free(worker).processorsMillicores - task.step.taskDemand.processorsMillicores).toDouble() /
                    capacity
            val isRemote = description.dataRack?.let { it !in worker.entry.labels } ?: false
            return speedCost(worker, maxSlowness) + leftOver +
                (if (isRemote) REMOTE_WEIGHT else 0.0) +
                (if (worker.id in task.failedOn) FAILED_BEFORE_WEIGHT else 0.0)
        }

        /** Starts the tasks with valid tickets and reserves the capacity of the others until their tickets arrive. */
        private fun startOrRequestAdvice(step: TrackedStep, assignments: List<Pair<TrackedTask, TrackedWorker>>) {
            assignments.forEach { (_, worker) -> freeCapacity.reserve(worker, step.taskDemand) }
            val needsTicket = step.job.terms.advice != null
            val ready =
                assignments.filter { (_, worker) ->
                    !needsTicket ||
                        step.advice.ticketFor(worker.incarnation, now) != null
                }
            val isStarting = ready.size == assignments.size || !step.description.isGang
            if (ready.size < assignments.size) adviceNeeded += step
            if (!isStarting) return
            val gangRun = nextRunNumber(step)
            ready.mapTo(starts) { (task, worker) ->
                val number = if (step.description.isGang) gangRun else maxOf(task.lastRun + 1, firstRunNumber())
                PlannedStart(task, worker, number, step.advice.ticketFor(worker.incarnation, now))
            }
        }

        private fun nextRunNumber(step: TrackedStep) = maxOf(step.tasks.maxOf { it.lastRun } + 1, firstRunNumber())

        private fun firstRunNumber() = (context.term - 1) * RUNS_PER_TERM + 1

        /** Reserves free capacity for a gang that does not fit now but would fit on the allowed workers when idle. */
        private fun reserveForGang(step: TrackedStep, count: Int, workers: List<TrackedWorker>) {
            if (step.needsMoreAdvice(workers)) adviceNeeded += step
            val allowed = workers.filter { step.job.terms.advice == null || step.advice.mayRunOn(it.incarnation) }
            val fittingTasks = allowed.sumOf { step.taskDemand.countIn(it.entry.capacity).coerceAtMost(count).toLong() }
            if (fittingTasks < count || gangReservations >= MAX_GANG_RESERVATIONS) return
            gangReservations++
            step.reserve(now + GANG_RESERVATION_MS)
            var unplaced = count
            for (worker in allowed.sortedBy { workerPool.speeds.slownessOf(it) }) {
                if (unplaced <= 0) break
                unplaced -= step.taskDemand.countIn(worker.entry.capacity).coerceAtMost(unplaced)
                freeCapacity.reserve(worker, freeCapacity.free(worker))
            }
        }
    }
}
