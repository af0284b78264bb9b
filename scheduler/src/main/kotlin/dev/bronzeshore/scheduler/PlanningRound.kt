/** Places the waiting steps of one planning round, one after the other. */
package dev.bronzeshore.scheduler

/** A step that can partly start does not ask about fewer new workers than this: most of a call's cost is fixed. */
private const val MIN_WORTH_ASKING = 4

/** A gang that knows good workers for this many times its members waits for them instead of asking about others. */
private const val ENOUGH_KNOWN = 1.5

private class Assignment(val task: TrackedTask, val target: RoundWorker)

internal class PlanningRound(
    private val context: TermContext,
    private val now: Long,
    private val firstRunNumber: Long,
    private val trials: CrashTrials,
    private val budget: AccountBudget,
    private val adviceNeeds: AdviceNeeds,
) {
    private val workersByService = HashMap<String, List<RoundWorker>>()
    private val tasksWithStrayRuns = context.workerPool.tasksWithStrayRuns()
    private val keeper = CapacityKeeper(context, now, budget)
    val gangWaits: Map<GangWait, Int> get() = keeper.gangWaits
    val starts = ArrayList<PlannedStart>()

    fun place(step: TrackedStep) {
        val startable = step.pendingTasks.filter { it.notBeforeMs <= now && it.name !in tasksWithStrayRuns }
        if (startable.isEmpty() || step.description.isGang && startable.size < step.tasks.size) return
        if (cannotAskYet(step, startable.size)) {
            if (step.description.isGang) keeper.countWait(step, GangWait.ADVICE)
            return
        }
        val workers = workersFor(step)
        val good = if (step.needsAdvice) workers.filter { step.advice.mayRunOn(it.worker.incarnation) } else workers
        val tasks = withinLimit(step, startable, good)
        if (tasks.isNotEmpty()) return place(step, tasks, workers, good)
        // A step that waits for its account's limit gets its advice meanwhile.
        if (step.needsAdvice && !fitsEventually(step, startable.size, good)) {
            explore(step, startable.size, startable.size, workers, good)
        }
    }

    /** True if nothing can be done for the step in this round: it knows no worker, and others ask first. */
    private fun cannotAskYet(step: TrackedStep, pending: Int): Boolean =
        step.needsAdvice && !step.advice.isKnown && adviceNeeds.isFull(lengthOfCall(step, pending))

    private fun place(
        step: TrackedStep,
        tasks: List<TrackedTask>,
        workers: List<RoundWorker>,
        good: List<RoundWorker>,
    ) {
        var assignments = assign(step, tasks, good)
        if (assignments.size < tasks.size) {
            val ready = good.filter { mayStartOn(it, step) }
            if (mayUseKept(step, tasks.size, ready)) {
                assignments = maxOf(assignments, assign(step, tasks, ready, usesKept = true), compareBy { it.size })
            }
        }
        reserveForTrials(step, tasks, good, assignments)
        val missing = tasks.size - assignments.size
        if (missing > 0 && step.needsAdvice) explore(step, tasks.size, missing, workers, good)
        when {
            missing == 0 -> startOrRenew(step, assignments)
            step.description.isGang -> reserveForGang(step, tasks.size, workers, good)
            assignments.isNotEmpty() -> startOrRenew(step, assignments)
        }
    }

    /** True if the step has waited long enough for capacity of [good] that is kept for others alone. */
    private fun mayUseKept(step: TrackedStep, count: Int, good: List<RoundWorker>): Boolean {
        val keeping = good.filter { it.keptFor.isNotEmpty() }
        if (keeping.isEmpty()) return false
        val withKept = keeping.filter { it.placesFor(step, it.free) > it.placesFor(step, it.roomFor(step)) }
        val isKeptOut = if (step.description.isGang) {
            good.sumOf { it.placesFor(step, it.free).coerceIn(0, count).toLong() } >= count
        } else {
            withKept.isNotEmpty()
        }
        if (!isKeptOut || !keeper.hasWaitedEnough(step, workersOf(step.job.terms.service))) return false
        keeper.logUseOfKept(step, withKept)
        return true
    }

    /**
     * The tasks that may start within the limit of the step's account; none of a gang if not all may.
     *
     * A gang that has to wait for its account's limit only keeps the rest of it from steps behind it. Otherwise their
     * small tasks take what becomes free, and the gang never starts while the account is busy. A gang that does not
     * know enough workers yet keeps nothing, because the rest would lie idle until it does.
     */
    private fun withinLimit(step: TrackedStep, tasks: List<TrackedTask>, good: List<RoundWorker>): List<TrackedTask> {
        val isGang = step.description.isGang
        val places = budget.placesFor(step)
        if (places >= tasks.size) return tasks
        val placesWithKept = budget.placesFor(step, usesKept = true)
        val isKeptOut = if (isGang) placesWithKept >= tasks.size else placesWithKept > places.coerceAtLeast(0)
        if (isKeptOut && keeper.hasWaitedEnough(step, workersOf(step.job.terms.service))) {
            return tasks.take(placesWithKept)
        }
        step.logLimit(context, isTooLow = isGang && budget.isBeyondLimit(step, tasks.size))
        if (!isGang) return tasks.take(places)
        keeper.countWait(step, GangWait.LIMIT)
        if (fitsEventually(step, tasks.size, good)) keeper.keepLimit(step, tasks.size)
        return emptyList()
    }

    private val TrackedStep.needsAdvice: Boolean get() = job.terms.advice != null

    /** Workers that accept tasks now and are large enough for the step, whether they have free capacity or not. */
    private fun workersFor(step: TrackedStep): List<RoundWorker> {
        val label = step.description.requiredLabel
        val demand = step.taskDemand
        return workersOf(step.job.terms.service).filter {
            (label == null || label in it.worker.entry.labels) &&
                demand.fitsIn(it.worker.entry.capacity)
        }
    }

    private fun workersOf(service: String) = workersByService.getOrPut(service) {
        val pool = context.workerPool
        pool.accepting(service, now).map { RoundWorker(it, pool.speeds.slownessOf(it), now) }.sortedBy { it.slowness }
    }

    /**
     * Picks a worker for each task, as far as capacity lasts; fewer than all tasks of a gang are not started.
     *
     * A gang keeps to workers whose tickets it has or expects if there are enough of them. Otherwise cheaper workers
     * that become free while the tickets are renewed would take their place, and need new tickets in turn.
     */
    private fun assign(
        step: TrackedStep,
        tasks: List<TrackedTask>,
        good: List<RoundWorker>,
        usesKept: Boolean = false,
    ): List<Assignment> {
        val free = good.filter { step.taskDemand.fitsIn(it.free) }
            .map { PlacementCandidate(it, step, usesKept) }
            .filter { it.places > 0 }
        if (step.description.isGang && step.needsAdvice) {
            val withTicket = free.filter { step.advice.hasOrExpectsTicket(it.target.worker.incarnation, now) }
            assignAmong(withTicket, step, tasks).takeIf { it.size == tasks.size }?.let { return it }
            free.forEach { it.release() }
        }
        return assignAmong(free, step, tasks)
    }

    private fun assignAmong(
        free: List<PlacementCandidate>,
        step: TrackedStep,
        tasks: List<TrackedTask>,
    ): List<Assignment> {
        val unreserved = free.filter { it.target.worker.trial == null }
        if (tasks.none { it.crashes.isSuspected }) return assignCheapest(unreserved, step, tasks)
        val (suspected, others) = tasks.partition { it.crashes.isSuspected }
        val onTrial = assignCheapest(free.filter { trials.admits(it.target.worker, step.job) }, step, suspected)
        return onTrial + assignCheapest(unreserved, step, others)
    }

    /** Suspected tasks start only on workers that were reserved for them in an earlier round. */
    private fun reserveForTrials(
        step: TrackedStep,
        tasks: List<TrackedTask>,
        good: List<RoundWorker>,
        assignments: List<Assignment>,
    ) {
        if (tasks.count { it.crashes.isSuspected } <= assignments.count { it.task.crashes.isSuspected }) return
        trials.reserve(good.filter { !it.hasNewRuns }.map { PlacementCandidate(it, step) }, step, now)
    }

    private fun assignCheapest(
        candidates: List<PlacementCandidate>,
        step: TrackedStep,
        tasks: List<TrackedTask>,
    ): List<Assignment> {
        if (candidates.isEmpty()) return emptyList()
        val costs = PlacementCosts(step, now)
        candidates.forEach { it.baseCost = costs.baseCost(it.target) }
        val result = ArrayList<Assignment>()
        for (task in tasks) {
            val chosen = candidates.filter { it.hasRoom }.minByOrNull { it.costFor(task) } ?: break
            chosen.take()
            result += Assignment(task, chosen.target)
        }
        return result
    }

    /** Asks about further workers, if no call of the step is in flight. */
    private fun explore(
        step: TrackedStep,
        pending: Int,
        missing: Int,
        workers: List<RoundWorker>,
        good: List<RoundWorker>,
    ) {
        if (!step.advice.mayAsk(now) || adviceNeeds.isFull(lengthOfCall(step, pending))) return
        val unasked = workers.filter { !step.advice.isAsked(it.worker.incarnation) }
        val (withRoom, withoutRoom) = unasked.partition { step.taskDemand.fitsIn(it.roomFor(step)) }
        val share = context.adviceShares.goodShare(step.job.terms.queue)
        if (step.advice.isKnown &&
            !isWorthAsking(step, missing, withRoom, share) &&
            hasEnoughGood(step, good)
        ) {
            return
        }
        val chosen = workersToAsk(
            AdviceShortage(pending, missing, step.advice.goodCount, share),
            withRoom.sortedByDescending { it.free.processorsMillicores / it.slowness },
            withoutRoom,
        )
        val isOptional = step.description.isGang && step.advice.isKnown && hasEnoughGood(step, good)
        if (chosen.isNotEmpty()) {
            adviceNeeds.add(AdviceNeed(step, chosen.map { it.worker.incarnation }, isOptional))
        }
    }

    /** True if the new workers with room are expected to help: a gang needs places for all missing members. */
    private fun isWorthAsking(step: TrackedStep, missing: Int, withRoom: List<RoundWorker>, share: Double): Boolean {
        if (!step.description.isGang) return withRoom.size >= minOf(MIN_WORTH_ASKING, missing)
        return share * withRoom.sumOf { it.placesFor(step, it.roomFor(step)).coerceAtMost(missing) } >= missing
    }

    /** True if the step can wait for the workers that it knows; a gang needs some choice among them. */
    private fun hasEnoughGood(step: TrackedStep, good: List<RoundWorker>): Boolean {
        val wanted = if (step.description.isGang) ENOUGH_KNOWN * step.tasks.size else 1.0
        return good.sumOf { it.placesWhenIdle(step).coerceIn(0, step.tasks.size) } >= wanted
    }

    /**
     * Renews the tickets of the chosen workers in one go. All of them must hold when the answers arrive, so tickets
     * that would expire meanwhile are renewed as well; a gang never starts if it renews them one by one.
     */
    private fun renewTickets(step: TrackedStep, targets: List<RoundWorker>) {
        if (!step.advice.mayAsk(now)) return
        val chosen = targets.map { it.worker.incarnation }.distinct()
        val answeredAtMs = now + (step.job.terms.advice?.durationMs(chosen.size) ?: 0)
        val expiring = chosen.filter { step.advice.ticketFor(it, answeredAtMs) == null }
        if (expiring.isNotEmpty()) adviceNeeds.add(AdviceNeed(step, expiring))
    }

    /** True if a task of the step needs no new ticket for the worker. */
    private fun mayStartOn(target: RoundWorker, step: TrackedStep): Boolean =
        !step.needsAdvice || step.advice.ticketFor(target.worker.incarnation, now) != null

    /** Starts the tasks with valid tickets and keeps the capacity of the others until their tickets arrive. */
    private fun startOrRenew(step: TrackedStep, assignments: List<Assignment>) {
        val (ready, withoutTicket) = assignments.partition { mayStartOn(it.target, step) }
        if (withoutTicket.isNotEmpty()) {
            renewTickets(step, assignments.map { it.target })
            val waiting = if (step.description.isGang) assignments else withoutTicket
            keepUntilTickets(step, waiting)
            if (step.description.isGang) return keeper.countWait(step, GangWait.TICKETS)
        }
        ready.forEach { it.target.take(step) }
        budget.take(step, ready.size)
        step.reservations?.end()
        val gangRun = maxOf(step.tasks.maxOf { it.lastRun } + 1, firstRunNumber)
        ready.mapTo(starts) {
            val run = if (step.description.isGang) gangRun else maxOf(it.task.lastRun + 1, firstRunNumber)
            val worker = it.target.worker
            PlannedStart(it.task, worker, run, step.advice.ticketFor(worker.incarnation, now))
        }
    }

    /**
     * Keeps the capacity of tasks that wait for tickets. Others may not use it after a time, as the tickets would be of
     * no use then, unless the advice service fails.
     */
    private fun keepUntilTickets(step: TrackedStep, waiting: List<Assignment>) {
        if (step.advice.hasFailed) {
            waiting.forEach { it.target.keep(step, count = 1) }
            budget.keep(step, waiting.size)
        } else {
            waiting.forEach { it.target.take(step) }
            budget.take(step, waiting.size)
        }
    }

    /** Reserves capacity for a gang that does not fit now, if it is known when it will. */
    private fun reserveForGang(step: TrackedStep, count: Int, workers: List<RoundWorker>, good: List<RoundWorker>) {
        val isAdviceMissing = step.needsAdvice && workers.any { !step.advice.isAsked(it.worker.incarnation) }
        if (isAdviceMissing && !fitsEventually(step, count, good)) return keeper.countWait(step, GangWait.ADVICE)
        val usable = good.filter { it.worker.trial.let { trial -> trial == null || trial.job === step.job } }
        val places = keeper.reserve(step, count, usable, workersOf(step.job.terms.service).size)
        if (places.isEmpty() || !step.needsAdvice) return
        // Tickets that are asked for so early arrive when the workers are free; otherwise these lie idle meanwhile.
        val targets = places.map { it.target }.distinct()
        val callMs = step.job.terms.advice?.durationMs(targets.size) ?: 0
        if (places.maxOf { it.atMs } <= now + callMs) renewTickets(step, targets)
    }

    /** True if [count] tasks of the step fit on the workers that may run it, once the runs there have ended. */
    private fun fitsEventually(step: TrackedStep, count: Int, good: List<RoundWorker>): Boolean =
        good.sumOf { it.placesFor(step, it.eventualRoom).coerceIn(0, count).toLong() } >= count
}
