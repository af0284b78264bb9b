/** Keeps tasks away from workers on which runs of different jobs fail or stall. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.TaskEnd

/** Number of jobs with failures and no success in between; on a healthy worker, one task in twenty fails. */
private const val FAILED_JOBS = 2

private const val QUARANTINE_MS = 4_000L

/** At most this share of the workers is in quarantine, so that a common cause does not take out all of them. */
private const val MAX_SHARE = 0.34

internal class Quarantine(private val context: TermContext) {
    /** Records the end of any run on [worker]. */
    fun recordEnd(worker: TrackedWorker, end: TaskEnd) {
        when (end.kind) {
            EndKind.DONE -> worker.failedJobs.clear()
            EndKind.FAILED -> worker.failedJobs += end.run.task.jobId
            else -> return
        }
        if (worker.failedJobs.size >= FAILED_JOBS) {
            isolate(worker, "tasks of ${worker.failedJobs.size} jobs failed in a row")
        }
    }

    /** Starts nothing on [worker] for some time. */
    fun isolate(worker: TrackedWorker, reason: String) {
        val now = context.clock()
        val isolated = context.workerPool.workers.count { it.quarantinedUntilMs > now }
        if (isolated >= context.workerPool.workers.size * MAX_SHARE) return
        worker.quarantinedUntilMs = now + QUARANTINE_MS
        context.log.event("quarantine", "worker" to worker.id, "reason" to reason, "until_in_ms" to QUARANTINE_MS)
    }
}
