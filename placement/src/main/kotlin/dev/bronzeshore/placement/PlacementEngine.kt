/** The decision engine: keeps workers, queue and usage, and decides what starts where. */
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
 * [isIdempotent] says whether parts of a job may be stopped without a checkpoint when an ordered checkpoint did not end
 * them; it must be false for jobs that may not run twice. [estimateUsage] turns the lowering and raising of charges by
 * usage reports on.
 */
public class PlacementEngine(
    clock: ClockMs,
    isIdempotent: (jobId: String) -> Boolean = { false },
    private val estimateUsage: Boolean = true,
) : WorkPlacer {
    private val workers = WorkerTable()
    private val queue = WorkQueue { workers.sizeClassOf(it) }
    private val book = JobBook(clock, workers, queue)
    private val reservations = ReservationBook(workers, queue)
    private val checker = JobChecker(clock, workers, book, reservations)
    private val preemptions = PreemptionPlanner(clock, book.shares, isIdempotent)
    private val planner = ReservationPlanner(clock, workers, book.shares, reservations, preemptions)
    private val starter = PartStarter(workers, book)
    private val backfill = Backfill(clock, workers, queue, starter, reservations)
    private val round = RoundPlanner(clock, workers, queue, starter, reservations, planner, backfill)
    private val review = BlockedWorkReview(clock, queue, book.shares, reservations, planner, round)
    private val usage = UsageTracker(workers, preemptions)

    override fun putWorker(worker: PlacementWorker) {
        if (workers.put(worker)) checker.fleetChanged = true
        if (!worker.accepting) reservations.dropOn(workers.roomOf(worker.workerId))
    }

    override fun removeWorker(workerId: String) {
        workers.find(workerId)?.let { reservations.dropOn(it) }
        workers.remove(workerId)
        checker.fleetChanged = true
    }

    override fun setAllowances(allowances: List<Allowance>) {
        checker.allowancesKnown = true
        checker.fleetChanged = true
        book.shares.changed()
        val byPlan = allowances.associateBy { it.plan }
        byPlan.keys.forEach { book.planOf(it) }
        for (plan in book.plans.values) {
            val allowance = byPlan[plan.name]
            plan.limit = allowance?.limit
            plan.weight = allowance?.weight ?: 1
            queue.limitFreed(plan)
        }
    }

    override fun check(item: WorkItem): Either<Fault, Unit> =
        (checker.impossible(item) ?: checker.passed(item))?.left() ?: Unit.right()

    override fun submit(item: WorkItem): Either<Fault, Unit> {
        val known = book.jobs[item.jobId]
        if (known?.shapeQueue != null) return Unit.right()
        checker.impossible(item)?.let { return it.left() }
        if (known == null) checker.passed(item)?.let { return it.left() }
        val job = known ?: book.jobOf(item)
        item.pendingParts.filterTo(job.pending) { it !in job.running }
        book.enqueue(job)
        book.forgetIfDone(job)
        return Unit.right()
    }

    override fun cancel(jobId: String) {
        val job = book.jobs[jobId] ?: return
        reservations.dropAll(job)
        book.dequeue(job)
        job.pending.clear()
        book.forgetIfDone(job)
    }

    override fun adopt(item: WorkItem, part: Int, workerId: String) {
        val job = book.jobOf(item)
        if (part in job.running) return
        book.dequeue(job)
        job.pending.remove(part)
        job.started = true
        book.start(job, part, workers.roomOf(workerId))
        book.enqueue(job)
        reservations.trim(job)
    }

    override fun partEnded(jobId: String, part: Int, workerId: String, requeue: Boolean) {
        val job = book.jobs[jobId] ?: return
        val running = job.running[part] ?: return
        if (running.worker.workerId != workerId) return
        preemptions.ended(running)
        book.release(running)
        queue.limitFreed(job.kindQueue.plan)
        reservations.headroomFreed(job.kindQueue.plan)
        if (requeue) {
            book.dequeue(job)
            job.pending.add(part)
            book.enqueue(job)
        }
        book.forgetIfDone(job)
    }

    override fun reportUsage(jobId: String, part: Int, workerId: String, used: Resources) {
        val running = book.jobs[jobId]?.running?.get(part) ?: return
        if (estimateUsage && running.worker.workerId == workerId) usage.report(running, used)
    }

    override fun decide(limit: Int): Decisions {
        val refusals = ArrayList<Refusal>()
        checker.refuseEnded(refusals)
        book.shares.refresh()
        preemptions.repeatLost()
        review.run()
        val placements = round.placeUpTo(limit)
        return Decisions(placements, preemptions.drainOrders(), refusals)
    }

    override fun waitReason(jobId: String): String? = book.jobs[jobId]?.let { WaitReason.of(it) }
}
