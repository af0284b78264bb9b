/** Keeps work away from workers that fail jobs which run elsewhere. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.deadlineIn

/**
 * A worker in quarantine.
 *
 * [untilMs] is when it is offered a probe task or, while the job [probeJobId] probes it, when the probe has passed.
 */
public data class QuarantinedWorker(
    public val workerId: String,
    public val untilMs: Long,
    public val probeJobId: String? = null,
)

/**
 * Quarantine of one data centre.
 *
 * A worker enters on the evidence of [JOBS_AGAINST] jobs if fewer than [maxQuarantined] workers are in quarantine, so
 * that a cause that all workers share takes away a tenth of them at most. At its deadline it is offered one probe task:
 * if that succeeds, or runs for [PROBE_MS] without a failure on the worker, the worker is released; otherwise the
 * quarantine starts again. A worker counts as quarantined until it is released. Not thread-safe: it belongs to the
 * control thread.
 */
public class Quarantine(private val clock: ClockMs, private val evidence: FailureEvidence = FailureEvidence(clock)) {
    private val log = ComponentLog("membership")
    private val entries = LinkedHashMap<String, QuarantinedWorker>()
    private var workers: Set<String> = emptySet()

    /** Largest number of workers in quarantine at a time: a tenth, but at least one. */
    public val maxQuarantined: Int get() = maxOf(1, workers.size / WORKERS_PER_QUARANTINED)

    /** Sets the workers of the data centre; a worker that left and comes back starts anew. */
    public fun setWorkers(workerIds: Set<String>) {
        for (gone in workers - workerIds) {
            release(gone)
        }
        workers = workerIds
    }

    /** A task of the job reported a failure on the worker. */
    public fun recordFailure(workerId: String, jobId: String) {
        if (workerId !in workers) {
            return
        }
        val alsoFailedOn = evidence.recordFailure(workerId, jobId)
        alsoFailedOn.forEach(::releaseIfCleared)
        val entry = current(workerId)
        when {
            entry == null -> enterIfGuilty(workerId)
            entry.probeJobId != null || clock() >= entry.untilMs -> enter(workerId)
        }
    }

    /** A task of the job succeeded on the worker. */
    public fun recordSuccess(workerId: String, jobId: String) {
        evidence.recordSuccess(workerId, jobId)
        // Tasks that were started before the quarantine may still succeed; only the probe releases the worker.
        if (current(workerId)?.probeJobId == jobId) {
            release(workerId)
        }
    }

    /** A task of the job was started on the worker; if the worker was waiting for a probe, this task is the probe. */
    public fun recordStart(workerId: String, jobId: String) {
        val entry = current(workerId) ?: return
        if (entry.probeJobId == null && clock() >= entry.untilMs) {
            entries[workerId] = entry.copy(untilMs = clock.deadlineIn(PROBE_MS), probeJobId = jobId)
        }
    }

    /** True if the worker may be given a task: it is not in quarantine, or it is due for its probe. */
    public fun accepts(workerId: String): Boolean {
        val entry = current(workerId) ?: return true
        return entry.probeJobId == null && clock() >= entry.untilMs
    }

    /** The workers in quarantine, in the order in which they entered. */
    public fun quarantined(): List<QuarantinedWorker> = entries.keys.toList().mapNotNull(::current)

    /** Lets workers in that had to wait for room; called from time to time, for example with each heartbeat round. */
    public fun quarantinePending() {
        quarantined()
        if (entries.size < maxQuarantined) {
            workers.filter { it !in entries }.forEach(::enterIfGuilty)
        }
    }

    private fun enterIfGuilty(workerId: String) {
        if (evidence.jobsAgainst(workerId) < JOBS_AGAINST) {
            return
        }
        if (entries.size < maxQuarantined) {
            enter(workerId)
        } else {
            log.debug { "worker $workerId keeps its work: $maxQuarantined workers are in quarantine already" }
        }
    }

    private fun enter(workerId: String) {
        val entry = QuarantinedWorker(workerId, clock.deadlineIn(QUARANTINE_MS))
        entries[workerId] = entry
        log.warn { "worker $workerId is in quarantine until ${entry.untilMs}" }
    }

    // The jobs turned out to fail elsewhere as well, so it was not the worker.
    private fun releaseIfCleared(workerId: String) {
        if (workerId in entries && evidence.jobsAgainst(workerId) < JOBS_AGAINST) {
            entries -= workerId
            log.info { "worker $workerId is released: its jobs fail elsewhere too" }
        }
    }

    private fun release(workerId: String) {
        evidence.clear(workerId)
        if (entries.remove(workerId) != null) {
            log.info { "worker $workerId is released" }
        }
    }

    private fun current(workerId: String): QuarantinedWorker? {
        val entry = entries[workerId] ?: return null
        if (entry.probeJobId != null && clock() >= entry.untilMs) {
            release(workerId)
            return null
        }
        return entry
    }

    public companion object {
        /** Different jobs that must speak against a worker. */
        public const val JOBS_AGAINST: Int = 3

        /** Time in quarantine before a probe task. */
        public const val QUARANTINE_MS: Long = 5L * 60 * 1_000

        /** Workers that fail everything fail soon; a probe that runs this long has passed. */
        public const val PROBE_MS: Long = 5L * 60 * 1_000

        private const val WORKERS_PER_QUARANTINED = 10
    }
}
