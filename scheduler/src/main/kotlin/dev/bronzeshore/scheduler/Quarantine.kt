/** Keeps work away from workers that fail whatever they start. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.TaskEnd

/** Failures of this many jobs without a success between them; one task in twenty fails on a sound worker. */
private const val FAILED_JOBS = 2

/** Time after which a worker is tried again. */
private const val QUARANTINE_MS = 4_000L

/** A common cause must not empty the fleet: at most this share of it is in quarantine. */
private const val MAX_SHARE = 0.34

internal class Quarantine(private val context: TermContext) {
    /** Takes in an end of any run on [worker]. */
    fun note(worker: TrackedWorker, end: TaskEnd) {
        when (end.kind) {
            EndKind.DONE -> worker.failedJobs.clear()
            EndKind.FAILED -> worker.failedJobs += end.run.task.jobId
            else -> return
        }
        if (worker.failedJobs.size >=
            FAILED_JOBS
        ) {
            isolate(worker, "tasks of ${worker.failedJobs.size} jobs failed in a row")
        }
    }

    /** Starts nothing on [worker] for some time. */
    fun isolate(worker: TrackedWorker, reason: String) {
        val now = context.clock()
        val isolated = context.fleet.workers.count { it.quarantinedUntilMs > now }
        if (isolated >= context.fleet.workers.size * MAX_SHARE) return
        worker.quarantinedUntilMs = now + QUARANTINE_MS
        context.log.event("quarantine", "worker" to worker.id, "reason" to reason, "until_in_ms" to QUARANTINE_MS)
    }
}
