/** Tracked jobs and plans, and the accounting of each start and end of a part. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkItem

/** Keeps queue, worker allocations, shares and plan usage consistent with each other. */
internal class JobRegistry(
    private val clock: ClockMs,
    private val workers: WorkerRegistry,
    private val queue: WorkQueue,
) {
    val plans: HashMap<String, PlanState> = HashMap()
    val jobs: HashMap<String, JobEntry> = HashMap()
    val deadlines: StartDeadlines = StartDeadlines()
    val shares: FairShareTracker = FairShareTracker(workers, plans.values)
    private var nextSequence = 0L

    fun planOf(name: String): PlanState = plans.getOrPut(name) { PlanState(name) }

    fun jobOf(item: WorkItem): JobEntry = jobs.getOrPut(item.jobId) {
        val plan = planOf(item.plan)
        if (plan.kinds[item.kind.name]?.kind?.weight != item.kind.weight) shares.invalidate()
        JobEntry(item, plan.kindQueue(item.kind), nextSequence++)
    }

    fun enqueue(job: JobEntry) {
        if (job.pending.isEmpty()) return
        if (job.shapeQueue == null) job.waitingSinceMs = clock()
        queue.add(job)
        if (!job.started) deadlines.add(job)
        updateActive(job.kindQueue)
    }

    fun dequeue(job: JobEntry) {
        queue.remove(job)
        deadlines.remove(job)
        updateActive(job.kindQueue)
    }

    /** Allocates capacity on [worker] for [part], which the caller has checked to fit or found running there. */
    fun start(job: JobEntry, part: Int, worker: WorkerState): RunningPart {
        val nowMs = clock()
        val running = RunningPart(job, part, worker, nowMs, job.item.size)
        running.isPreemptible = job.allowsPreemption() && job.budget.allows(part, nowMs)
        job.running[part] = running
        job.kindQueue.running.add(running)
        if (job.isSpread) job.partsByRack.merge(worker.rack, 1, Int::plus)
        workers.allocate(running)
        shares.recordUsage(job, job.item.size)
        updateActive(job.kindQueue)
        return running
    }

    /** Frees what is allocated to [running]. */
    fun release(running: RunningPart) {
        val job = running.job
        job.running.remove(running.part)
        job.kindQueue.running.remove(running)
        if (job.isSpread) job.partsByRack.merge(running.worker.rack, -1, Int::plus)
        workers.release(running)
        shares.recordUsage(job, Resources.NONE - job.item.size)
        updateActive(job.kindQueue)
    }

    fun removeIfDone(job: JobEntry) {
        if (job.pending.isEmpty() && job.running.isEmpty()) jobs.remove(job.item.jobId)
    }

    private fun updateActive(kind: KindQueue) {
        if (kind.isActive == kind.isCountedActive) return
        kind.isCountedActive = kind.isActive
        shares.invalidate()
    }

    /** Interactive work and gangs are never preempted: a gang that loses a part has to stop as a whole. */
    private fun JobEntry.allowsPreemption(): Boolean = !isGang && item.kind.policy != Policy.INTERACTIVE
}
