/** Known jobs and plans, and the accounting of each start and end of a part. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.WorkItem

/** Keeps queue, worker room and plan usage in step with each other. */
internal class JobBook(private val clock: ClockMs, private val workers: WorkerTable, private val queue: WorkQueue) {
    val plans: HashMap<String, PlanAccount> = HashMap()
    val jobs: HashMap<String, JobEntry> = HashMap()
    val deadlines: StartDeadlines = StartDeadlines()
    private var nextSequence = 0L

    fun planOf(name: String): PlanAccount = plans.getOrPut(name) { PlanAccount(name) }

    fun jobOf(item: WorkItem): JobEntry = jobs.getOrPut(item.jobId) {
        JobEntry(item, planOf(item.plan).kindQueue(item.kind), nextSequence++)
    }

    fun enqueue(job: JobEntry) {
        if (job.pending.isEmpty()) return
        queue.add(job)
        if (!job.started) deadlines.add(job)
    }

    fun dequeue(job: JobEntry) {
        queue.remove(job)
        deadlines.remove(job)
    }

    /** Takes room on [room] for [part]; the caller has checked that it fits, or has found it running there. */
    fun start(job: JobEntry, part: Int, room: WorkerRoom): RunningPart {
        val running = RunningPart(job, part, room, clock(), job.item.size)
        job.running[part] = running
        workers.charge(running)
        job.kindQueue.used += job.item.size
        job.kindQueue.plan.used += job.item.size
        return running
    }

    /** Gives back what [running] took. */
    fun release(running: RunningPart) {
        val job = running.job
        job.running.remove(running.part)
        workers.release(running)
        job.kindQueue.used -= job.item.size
        job.kindQueue.plan.used -= job.item.size
    }

    fun forgetIfDone(job: JobEntry) {
        if (job.pending.isEmpty() && job.running.isEmpty()) jobs.remove(job.item.jobId)
    }

    fun drop(job: JobEntry) {
        dequeue(job)
        jobs.remove(job.item.jobId)
    }
}
