/**
 * Decides which tasks start where.
 *
 * A round goes through the waiting steps in order of urgency. A step takes room on the fastest workers that may run it
 * and leaves the least room unused. A gang starts as a whole or not at all; while it waits, it keeps free room from
 * later steps, so that a stream of small tasks cannot keep it waiting for ever.
 */
package dev.bronzeshore.scheduler

/** Gangs that keep room free for themselves at a time; more would leave too much of the fleet idle. */
private const val MAX_WAITING_GANGS = 3

/**
 * Time for which a waiting gang keeps its place although it has become late; without it, room that it had half
 * collected went to newer small tasks, and on a full fleet it never started.
 */
private const val RESERVATION_MS = 5_000L

/** Weight of a worker's slowness against the share of its processors that would stay unused. */
private const val SLOWNESS_WEIGHT = 4.0

/** Weight of the speed that a step does not need. */
private const val SPARE_SPEED_WEIGHT = 1.0

/** Only steps with this much time to spare leave fast workers to others; estimates do not tell less apart. */
private const val MIN_SPARE_SPEED = 1.8

/** Estimates of run times are off by this factor often enough to count on it. */
private const val ESTIMATE_MARGIN = 1.6

/** Shorter estimates say little: the start and the report take tens of milliseconds. */
private const val MIN_CHAIN_MS = 300L

/** Weight of running away from the input data. */
private const val REMOTE_WEIGHT = 2.0

/** Weight of a worker on which the task has failed before. */
private const val FAILED_BEFORE_WEIGHT = 8.0

/** Run numbers of a term start above those of all earlier terms. */
private const val RUNS_PER_TERM = 10_000L

/** The starts of a round and the steps that need tickets before they can start. */
internal class Plan(val starts: List<PlannedStart>, val adviceNeeded: List<TrackedStep>)

internal class Planner(
    private val context: TermContext,
    /** False while runs of a former leader may exist that this leader has not found. */
    private val mayStart: (TrackedJob) -> Boolean,
) {
    private val fleet get() = context.fleet

    fun plan(): Plan {
        val now = context.clock()
        val round = Round(now)
        rankedSteps(now).forEach { round.place(it.step) }
        return Plan(round.starts, round.adviceNeeded)
    }

    private fun rankedSteps(now: Long): List<RankedStep> {
        val wallClock = context.wallClock()
        val ranked = ArrayList<RankedStep>()
        for (job in context.book.openJobs) {
            if (!mayStart(job)) continue
            for (step in job.steps) {
                val delayMs = step.dueAtMs?.let { (it - job.accepted.acceptedAtMs).coerceAtLeast(0) } ?: 0
                val isDue = step.dueAtMs?.let { wallClock >= it } ?: true
                if (isDue && step.isUnblocked && step.pendingTasks.isNotEmpty()) ranked += rank(step, now, delayMs)
            }
        }
        return ranked.sortedWith(STEP_ORDER)
    }

    /** Workers that could ever run the step, whether they are busy or not. */
    fun eligible(step: TrackedStep, nowMs: Long): List<TrackedWorker> =
        fleet.accepting(step.job.terms.service, nowMs).filter { step.allows(it) }

    private fun TrackedStep.allows(worker: TrackedWorker): Boolean {
        val label = description.requiredLabel
        return (label == null || label in worker.entry.labels) && room.fitsIn(worker.entry.capacity)
    }

    private inner class Round(private val now: Long) {
        private val room = RoomView()
        private val eligibleByService = HashMap<String, List<TrackedWorker>>()
        private val tasksWithStrayRuns = fleet.tasksWithStrayRuns()
        private var waitingGangs = 0
        val starts = ArrayList<PlannedStart>()
        val adviceNeeded = ArrayList<TrackedStep>()

        fun place(step: TrackedStep) {
            val tasks = step.pendingTasks.filter { it.notBeforeMs <= now && it.name !in tasksWithStrayRuns }
            if (tasks.isEmpty() || step.description.isGang && tasks.size < step.tasks.size) return
            val workers = workersFor(step)
            if (step.job.terms.advice != null &&
                workers.any { !step.advice.isAsked(it.life) } &&
                !step.advice.isKnown
            ) {
                adviceNeeded += step
                return
            }
            val chosen = assign(step, tasks, workers)
            when {
                chosen.size == tasks.size -> startOrAsk(step, chosen)
                step.description.isGang -> waitAsGang(step, tasks.size, workers)
                chosen.isNotEmpty() -> startOrAsk(step, chosen)
                step.needsMoreAdvice(workers) -> adviceNeeded += step
            }
        }

        private fun TrackedStep.needsMoreAdvice(workers: List<TrackedWorker>) =
            job.terms.advice != null && workers.any { !advice.isAsked(it.life) }

        private fun workersFor(step: TrackedStep): List<TrackedWorker> {
            val service = step.job.terms.service
            return eligibleByService.getOrPut(service) { fleet.accepting(service, now) }.filter { step.allows(it) }
        }

        /** A worker for each task as far as there is room; a gang gets none unless all fit. */
        private fun assign(
            step: TrackedStep,
            tasks: List<TrackedTask>,
            workers: List<TrackedWorker>,
        ): List<Pair<TrackedTask, TrackedWorker>> {
            val allowed = workers.filter { step.job.terms.advice == null || step.advice.mayRunOn(it.life) }
            val local = RoomView().also { copy -> allowed.forEach { copy.take(it, it.free - room.free(it)) } }
            val onWorker = HashMap<TrackedWorker, Int>()
            step.tasks.mapNotNull { it.placement?.worker }.forEach { onWorker.merge(it, 1, Int::plus) }
            val limit = step.description.maxPerWorker.takeIf { it > 0 } ?: Int.MAX_VALUE
            val slowestInTime = slowestInTime(step)
            val result = ArrayList<Pair<TrackedTask, TrackedWorker>>()
            for (task in tasks) {
                val worker = allowed
                    .filter { local.countFitting(it, step.room) > 0 && (onWorker[it] ?: 0) < limit }
                    .minByOrNull { cost(task, it, local, slowestInTime) } ?: break
                local.take(worker, step.room)
                onWorker.merge(worker, 1, Int::plus)
                result += task to worker
            }
            return result
        }

        /** How slow a worker may be, relative to the fleet, for the step's job to end within its objective. */
        private fun slowestInTime(step: TrackedStep): Double {
            val chainMs = step.job.remainingChainMs(step).coerceAtLeast(MIN_CHAIN_MS)
            return (step.job.objectiveAtMs - now) / (chainMs * ESTIMATE_MARGIN)
        }

        /** A worker that is fast enough costs the less the slower it is: faster ones are left to tighter objectives. */
        private fun speedCost(worker: TrackedWorker, slowestInTime: Double): Double {
            val slowness = fleet.speeds.slownessOf(worker)
            return if (slowestInTime >= MIN_SPARE_SPEED &&
                slowness <= slowestInTime
            ) {
                SPARE_SPEED_WEIGHT / slowness
            } else {
                SLOWNESS_WEIGHT * slowness
            }
        }

        private fun cost(task: TrackedTask, worker: TrackedWorker, local: RoomView, slowestInTime: Double): Double {
            val description = task.step.description
            val capacity = worker.entry.capacity.processorsMillicores.coerceAtLeast(1)
            val leftOver =
                (local.free(worker).processorsMillicores - task.step.room.processorsMillicores).toDouble() / capacity
            val isRemote = description.dataRack?.let { it !in worker.entry.labels } ?: false
            return speedCost(worker, slowestInTime) + leftOver +
                (if (isRemote) REMOTE_WEIGHT else 0.0) +
                (if (worker.id in task.failedOn) FAILED_BEFORE_WEIGHT else 0.0)
        }

        /** Starts what has a valid ticket; otherwise keeps the room until the tickets have come. */
        private fun startOrAsk(step: TrackedStep, chosen: List<Pair<TrackedTask, TrackedWorker>>) {
            chosen.forEach { (_, worker) -> room.take(worker, step.room) }
            val needsTicket = step.job.terms.advice != null
            val ready = chosen.filter { (_, worker) -> !needsTicket || step.advice.ticketFor(worker.life, now) != null }
            val isStarting = ready.size == chosen.size || !step.description.isGang
            if (ready.size < chosen.size) adviceNeeded += step
            if (!isStarting) return
            val run = nextRun(step)
            ready.mapTo(starts) { (task, worker) ->
                val number = if (step.description.isGang) run else maxOf(task.lastRun + 1, firstRun())
                PlannedStart(task, worker, number, step.advice.ticketFor(worker.life, now))
            }
        }

        private fun nextRun(step: TrackedStep) = maxOf(step.tasks.maxOf { it.lastRun } + 1, firstRun())

        private fun firstRun() = (context.term - 1) * RUNS_PER_TERM + 1

        /** Keeps free room for a gang that does not fit now, if it can ever fit on the workers that may run it. */
        private fun waitAsGang(step: TrackedStep, count: Int, workers: List<TrackedWorker>) {
            if (step.needsMoreAdvice(workers)) adviceNeeded += step
            val allowed = workers.filter { step.job.terms.advice == null || step.advice.mayRunOn(it.life) }
            val couldFit = allowed.sumOf { step.room.countIn(it.entry.capacity).coerceAtMost(count).toLong() }
            if (couldFit < count || waitingGangs >= MAX_WAITING_GANGS) return
            waitingGangs++
            step.reserve(now + RESERVATION_MS)
            var missing = count
            for (worker in allowed.sortedBy { fleet.speeds.slownessOf(it) }) {
                if (missing <= 0) break
                missing -= step.room.countIn(worker.entry.capacity).coerceAtMost(missing)
                room.take(worker, room.free(worker))
            }
        }
    }
}
