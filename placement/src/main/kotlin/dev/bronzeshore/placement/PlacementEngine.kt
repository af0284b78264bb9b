/** Placement engine: tracks workers, queued jobs and usage, and decides which part starts on which worker. */
package dev.bronzeshore.placement

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Decisions
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Refusal
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer

/**
 * Implements [WorkPlacer] for the control thread; not thread-safe.
 *
 * [isIdempotent] tells whether parts of a job may be stopped without a checkpoint when a requested checkpoint did not
 * end them; it must be false for jobs that may not run twice. With [estimateUsage], usage reports adjust the
 * allocations of running parts.
 */
public class PlacementEngine(
    clock: ClockMs,
    isIdempotent: (jobId: String) -> Boolean = { false },
    private val estimateUsage: Boolean = true,
) : WorkPlacer {
    private val workers = WorkerRegistry()
    private val queue = WorkQueue { workers.sizeClassOf(it) }
    private val registry = JobRegistry(clock, workers, queue)
    private val reservations = ReservationRegistry(workers, queue)
    private val checker = JobChecker(clock, workers, registry, reservations)
    private val preemptions = PreemptionPlanner(clock, registry.shares, isIdempotent)
    private val planner = ReservationPlanner(clock, workers, registry.shares, reservations, preemptions)
    private val starter = PartStarter(workers, registry)
    private val backfill = BackfillPlanner(clock, workers, queue, starter, reservations)
    private val round = RoundPlanner(clock, workers, queue, starter, reservations, planner, backfill)
    private val blockedWork = BlockedWorkPlanner(clock, queue, registry.shares, reservations, planner, round)
    private val usage = UsageTracker(workers, preemptions)

    override fun putWorker(worker: PlacementWorker) {
        if (workers.put(worker)) checker.fleetChanged = true
        if (!worker.accepting) reservations.removeAllOn(workers.findOrCreate(worker.workerId))
    }

    override fun removeWorker(workerId: String) {
        workers.find(workerId)?.let { reservations.removeAllOn(it) }
        workers.remove(workerId)
        checker.fleetChanged = true
    }

    override fun setAllowances(allowances: List<Allowance>) {
        checker.allowancesKnown = true
        checker.fleetChanged = true
        registry.shares.invalidate()
        val byPlan = allowances.associateBy { it.plan }
        byPlan.keys.forEach { registry.planOf(it) }
        for (plan in registry.plans.values) {
            val allowance = byPlan[plan.name]
            plan.limit = allowance?.limit
            plan.weight = allowance?.weight ?: 1
            queue.retryAtLimit(plan)
        }
    }

    override fun check(item: WorkItem): Either<Fault, Unit> =
        (checker.checkFeasibility(item) ?: checker.checkDeadline(item))?.left() ?: Unit.right()

    override fun submit(item: WorkItem): Either<Fault, Unit> {
        val known = registry.jobs[item.jobId]
        if (known?.shapeQueue != null) return Unit.right()
        checker.checkFeasibility(item)?.let { return it.left() }
        if (known == null) checker.checkDeadline(item)?.let { return it.left() }
        val job = known ?: registry.jobOf(item)
        item.pendingParts.filterTo(job.pending) { it !in job.running }
        registry.enqueue(job)
        registry.removeIfDone(job)
        return Unit.right()
    }

    override fun cancel(jobId: String) {
        val job = registry.jobs[jobId] ?: return
        reservations.removeAllOf(job)
        registry.dequeue(job)
        job.pending.clear()
        registry.removeIfDone(job)
    }

    override fun adopt(item: WorkItem, part: Int, workerId: String) {
        val job = registry.jobOf(item)
        if (part in job.running) return
        registry.dequeue(job)
        job.pending.remove(part)
        job.started = true
        registry.start(job, part, workers.findOrCreate(workerId))
        registry.enqueue(job)
        reservations.trim(job)
    }

    override fun partEnded(jobId: String, part: Int, workerId: String, requeue: Boolean) {
        val job = registry.jobs[jobId] ?: return
        val running = job.running[part] ?: return
        if (running.worker.workerId != workerId) return
        preemptions.onPartEnded(running)
        registry.release(running)
        queue.retryAtLimit(job.kindQueue.plan)
        reservations.retryAtLimit(job.kindQueue.plan)
        if (requeue) {
            registry.dequeue(job)
            job.pending.add(part)
            registry.enqueue(job)
        }
        registry.removeIfDone(job)
    }

    override fun reportUsage(jobId: String, part: Int, workerId: String, used: Resources) {
        val running = registry.jobs[jobId]?.running?.get(part) ?: return
        if (estimateUsage && running.worker.workerId == workerId) usage.report(running, used)
    }

    override fun decide(limit: Int): Decisions {
        val refusals = ArrayList<Refusal>()
        checker.refuseInfeasible(refusals)
        registry.shares.refresh()
        preemptions.retryUnanswered()
        blockedWork.run()
        val placements = round.placeUpTo(limit)
        return Decisions(placements, preemptions.drainPreemptions(), refusals)
    }

    override fun waitReason(jobId: String): String? = registry.jobs[jobId]?.let { WaitReason.of(it) }
}
