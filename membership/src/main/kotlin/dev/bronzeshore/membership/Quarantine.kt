/** Quarantine of workers that fail jobs which succeed elsewhere or fail nowhere else. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.deadlineIn

/**
 * A worker in quarantine.
 *
 * [untilMs] is the time from which it accepts a probe task or, while a task of [probeJobId] runs as its probe, the time
 * at which the probe passes.
 */
public data class QuarantinedWorker(
    public val workerId: String,
    public val untilMs: Long,
    public val probeJobId: String? = null,
)

/**
 * Quarantine of the workers of one data centre.
 *
 * A worker is quarantined if [MIN_IMPLICATING_JOBS] jobs implicate it (see [FailureTracker]) and fewer than
 * [maxQuarantined] workers are in quarantine, so that a common cause removes a tenth of all workers at most. At its
 * deadline it accepts one probe task: if that succeeds, or runs for [PROBE_MS] without a failure on the worker, the
 * worker is released; otherwise the quarantine starts again. A worker counts as quarantined until it is released. Not
 * thread-safe: used on the control thread only.
 */
public class Quarantine(private val clock: ClockMs, private val failures: FailureTracker = FailureTracker(clock)) {
    private val log = ComponentLog("membership")
    private val entries = LinkedHashMap<String, QuarantinedWorker>()
    private var workers: Set<String> = emptySet()

    /** Maximum number of workers in quarantine at a time: a tenth of all workers, but at least one. */
    public val maxQuarantined: Int get() = maxOf(1, workers.size / WORKERS_PER_QUARANTINED)

    /** Sets the workers of the data centre; the failures on workers that left are discarded. */
    public fun setWorkers(workerIds: Set<String>) {
        for (removed in workers - workerIds) {
            release(removed)
        }
        workers = workerIds
    }

    /** Records that a task of the job failed on the worker. */
    public fun recordFailure(workerId: String, jobId: String) {
        if (workerId !in workers) {
            return
        }
        val otherWorkers = failures.recordFailure(workerId, jobId)
        otherWorkers.forEach(::releaseIfNotImplicated)
        val entry = activeEntry(workerId)
        when {
            entry == null -> quarantineIfImplicated(workerId)
            entry.probeJobId != null || clock() >= entry.untilMs -> startQuarantine(workerId)
        }
    }

    /** Records that a task of the job succeeded on the worker. */
    public fun recordSuccess(workerId: String, jobId: String) {
        failures.recordSuccess(workerId, jobId)
        // Tasks that were started before the quarantine may still succeed; only the probe releases the worker.
        if (activeEntry(workerId)?.probeJobId == jobId) {
            release(workerId)
        }
    }

    /** Records that a task of the job was started on the worker; it is the probe if the worker is due for one. */
    public fun recordStart(workerId: String, jobId: String) {
        val entry = activeEntry(workerId) ?: return
        if (entry.probeJobId == null && clock() >= entry.untilMs) {
            entries[workerId] = entry.copy(untilMs = clock.deadlineIn(PROBE_MS), probeJobId = jobId)
        }
    }

    /** True if the worker accepts a task: it is not in quarantine, or it is due for its probe. */
    public fun accepts(workerId: String): Boolean {
        val entry = activeEntry(workerId) ?: return true
        return entry.probeJobId == null && clock() >= entry.untilMs
    }

    /** The workers in quarantine, in the order in which they entered. */
    public fun quarantined(): List<QuarantinedWorker> = entries.keys.toList().mapNotNull(::activeEntry)

    /** Quarantines workers that had to wait because [maxQuarantined] was reached; called periodically. */
    public fun quarantinePending() {
        quarantined()
        if (entries.size < maxQuarantined) {
            workers.filter { it !in entries }.forEach(::quarantineIfImplicated)
        }
    }

    private fun quarantineIfImplicated(workerId: String) {
        if (failures.implicatingJobCount(workerId) < MIN_IMPLICATING_JOBS) {
            return
        }
        if (entries.size < maxQuarantined) {
            startQuarantine(workerId)
        } else {
            log.debug { "worker $workerId is not quarantined: the maximum of $maxQuarantined workers is reached" }
        }
    }

    private fun startQuarantine(workerId: String) {
        val entry = QuarantinedWorker(workerId, clock.deadlineIn(QUARANTINE_MS))
        entries[workerId] = entry
        log.warn { "worker $workerId is in quarantine until ${entry.untilMs}" }
    }

    // The jobs also failed elsewhere, so the worker is not the cause.
    private fun releaseIfNotImplicated(workerId: String) {
        if (workerId in entries && failures.implicatingJobCount(workerId) < MIN_IMPLICATING_JOBS) {
            entries -= workerId
            log.info { "worker $workerId is released: its jobs fail elsewhere too" }
        }
    }

    private fun release(workerId: String) {
        failures.clear(workerId)
        if (entries.remove(workerId) != null) {
            log.info { "worker $workerId is released" }
        }
    }

    private fun activeEntry(workerId: String): QuarantinedWorker? {
        val entry = entries[workerId] ?: return null
        if (entry.probeJobId != null && clock() >= entry.untilMs) {
            release(workerId)
            return null
        }
        return entry
    }

    public companion object {
        /** Number of different jobs that must implicate a worker. */
        public const val MIN_IMPLICATING_JOBS: Int = 3

        /** Time in quarantine before the worker accepts a probe task. */
        public const val QUARANTINE_MS: Long = 5L * 60 * 1_000

        /** A probe that runs this long passes: a worker that fails all its tasks fails them soon after their start. */
        public const val PROBE_MS: Long = 5L * 60 * 1_000

        private const val WORKERS_PER_QUARANTINED = 10
    }
}
