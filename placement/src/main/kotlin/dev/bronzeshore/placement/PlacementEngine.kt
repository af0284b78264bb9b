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

/** Implements [WorkPlacer] for the control thread; not thread-safe. */
public class PlacementEngine(clock: ClockMs) : WorkPlacer {
    private val workers = WorkerTable()
    private val queue = WorkQueue()
    private val book = JobBook(clock, workers, queue)
    private val checker = JobChecker(clock, workers, book)
    private val planner = RoundPlanner(workers, queue, book)

    override fun putWorker(worker: PlacementWorker) {
        if (workers.put(worker)) checker.fleetChanged = true
    }

    override fun removeWorker(workerId: String) {
        workers.remove(workerId)
        checker.fleetChanged = true
    }

    override fun setAllowances(allowances: List<Allowance>) {
        checker.allowancesKnown = true
        checker.fleetChanged = true
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
    }

    override fun partEnded(jobId: String, part: Int, workerId: String, requeue: Boolean) {
        val job = book.jobs[jobId] ?: return
        val running = job.running[part] ?: return
        if (running.worker.workerId != workerId) return
        book.release(running)
        queue.limitFreed(job.kindQueue.plan)
        if (requeue) {
            book.dequeue(job)
            job.pending.add(part)
            book.enqueue(job)
        }
        book.forgetIfDone(job)
    }

    override fun reportUsage(jobId: String, part: Int, workerId: String, used: Resources) {
        val running = book.jobs[jobId]?.running?.get(part) ?: return
        if (running.worker.workerId != workerId) return
        running.seenLast = used
        running.reportCount++
    }

    override fun decide(limit: Int): Decisions {
        val refusals = ArrayList<Refusal>()
        checker.refuseEnded(refusals)
        return Decisions(placements = planner.placeUpTo(limit), refusals = refusals)
    }

    override fun waitReason(jobId: String): String? {
        val waiting = book.jobs[jobId]?.shapeQueue ?: return null
        val size = waiting.wanted
        return when (waiting.state) {
            QueueState.WAITS_FOR_LIMIT -> "Waits until plan ${waiting.kindQueue.plan.name} uses less of its allowance."
            QueueState.WAITS_FOR_ROOM ->
                "Waits for ${size.processorsMillicores} millicores, ${size.memoryBytes} bytes of memory and " +
                    "${size.accelerators} accelerators to become free."
            else -> "Waits for its turn in the queue."
        }
    }
}
