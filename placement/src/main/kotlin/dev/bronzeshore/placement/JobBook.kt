/** Known jobs and plans, and the accounting of each start and end of a part. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkItem

/** Keeps queue, worker room, shares and plan usage in step with each other. */
internal class JobBook(private val clock: ClockMs, private val workers: WorkerTable, private val queue: WorkQueue) {
    val plans: HashMap<String, PlanAccount> = HashMap()
    val jobs: HashMap<String, JobEntry> = HashMap()
    val deadlines: StartDeadlines = StartDeadlines()
    val shares: ShareAccounts = ShareAccounts(workers, plans.values)
    private var nextSequence = 0L

    fun planOf(name: String): PlanAccount = plans.getOrPut(name) { PlanAccount(name) }

    fun jobOf(item: WorkItem): JobEntry = jobs.getOrPut(item.jobId) {
        val plan = planOf(item.plan)
        if (plan.kinds[item.kind.name]?.kind?.weight != item.kind.weight) shares.changed()
        JobEntry(item, plan.kindQueue(item.kind), nextSequence++)
    }

    fun enqueue(job: JobEntry) {
        if (job.pending.isEmpty()) return
        if (job.shapeQueue == null) job.waitingSinceMs = clock()
        queue.add(job)
        if (!job.started) deadlines.add(job)
        countActive(job.kindQueue)
    }

    fun dequeue(job: JobEntry) {
        queue.remove(job)
        deadlines.remove(job)
        countActive(job.kindQueue)
    }

    /** Takes room on [room] for [part]; the caller has checked that it fits, or has found it running there. */
    fun start(job: JobEntry, part: Int, room: WorkerRoom): RunningPart {
        val nowMs = clock()
        val running = RunningPart(job, part, room, nowMs, job.item.size)
        running.isDisturbable = job.mayYield() && job.budget.allows(part, nowMs)
        job.running[part] = running
        job.kindQueue.running.add(running)
        if (job.isSpread) job.partsByRack.merge(room.rack, 1, Int::plus)
        workers.charge(running)
        shares.use(job, job.item.size)
        countActive(job.kindQueue)
        return running
    }

    /** Gives back what [running] took. */
    fun release(running: RunningPart) {
        val job = running.job
        job.running.remove(running.part)
        job.kindQueue.running.remove(running)
        if (job.isSpread) job.partsByRack.merge(running.worker.rack, -1, Int::plus)
        workers.release(running)
        shares.use(job, Resources.NONE - job.item.size)
        countActive(job.kindQueue)
    }

    fun forgetIfDone(job: JobEntry) {
        if (job.pending.isEmpty() && job.running.isEmpty()) jobs.remove(job.item.jobId)
    }

    private fun countActive(kind: KindQueue) {
        if (kind.isActive == kind.countedActive) return
        kind.countedActive = kind.isActive
        shares.changed()
    }

    /** Interactive work and gangs are never stopped for others: a gang that loses a part has to stop whole. */
    private fun JobEntry.mayYield(): Boolean = !isGang && item.kind.policy != Policy.INTERACTIVE
}
