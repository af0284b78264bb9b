/** Tracks which jobs failed on which workers, to find faulty workers. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.deadlineIn

/**
 * Counts the jobs that implicate a worker.
 *
 * A job implicates a worker if it failed there and either failed on no other worker or succeeded on more other workers
 * than it failed on. A job that fails on many workers is itself faulty and implicates none of them. Each failure counts
 * until a stored deadline. Not thread-safe: used on the control thread only.
 */
public class FailureTracker(private val clock: ClockMs, private val windowMs: Long = FAILURE_WINDOW_MS) {
    // In the order of the last failure, oldest first.
    private val jobs = LinkedHashMap<String, JobOutcomes>()
    private val jobsByWorker = HashMap<String, MutableSet<String>>()

    /** Records a failure and returns the other workers where this job failed: it may no longer implicate them. */
    public fun recordFailure(workerId: String, jobId: String): Set<String> {
        removeExpired()
        val outcomes = jobs.remove(jobId) ?: JobOutcomes()
        outcomes.failedOn[workerId] = clock.deadlineIn(windowMs)
        outcomes.succeededOn -= workerId
        jobs[jobId] = outcomes
        jobsByWorker.getOrPut(workerId) { LinkedHashSet() } += jobId
        return outcomes.failedOn.keys - workerId
    }

    /** Records a success; successes of jobs that failed nowhere are not needed and not stored. */
    public fun recordSuccess(workerId: String, jobId: String) {
        val outcomes = jobs[jobId] ?: return
        if (workerId !in outcomes.failedOn) {
            outcomes.succeededOn += workerId
        }
    }

    /** Number of different jobs that implicate the worker now. */
    public fun implicatingJobCount(workerId: String): Int {
        val nowMs = clock()
        return jobsByWorker[workerId].orEmpty().count { jobId -> jobs[jobId]?.implicates(workerId, nowMs) == true }
    }

    /** Removes the failures on a worker that passed its probe or left the data centre. */
    public fun clear(workerId: String) {
        for (jobId in jobsByWorker.remove(workerId).orEmpty()) {
            val outcomes = jobs[jobId] ?: continue
            outcomes.failedOn -= workerId
            if (outcomes.failedOn.isEmpty()) {
                jobs -= jobId
            }
        }
    }

    /** Number of jobs with recorded failures. */
    internal val jobCount: Int get() = jobs.size

    private fun removeExpired() {
        val nowMs = clock()
        val oldest = jobs.iterator()
        while (oldest.hasNext()) {
            val (jobId, outcomes) = oldest.next()
            if (jobs.size < MAX_JOBS && outcomes.failedOn.values.any { it > nowMs }) {
                return
            }
            oldest.remove()
            outcomes.failedOn.keys.forEach { removeFailure(it, jobId) }
        }
    }

    private fun removeFailure(workerId: String, jobId: String) {
        val ids = jobsByWorker[workerId] ?: return
        ids -= jobId
        if (ids.isEmpty()) {
            jobsByWorker -= workerId
        }
    }

    private class JobOutcomes {
        val failedOn = HashMap<String, Long>()
        val succeededOn = HashSet<String>()

        fun implicates(workerId: String, nowMs: Long): Boolean {
            val untilMs = failedOn[workerId] ?: return false
            val failedElsewhere = failedOn.size - 1
            return untilMs > nowMs && (failedElsewhere == 0 || succeededOn.size > failedElsewhere)
        }
    }

    public companion object {
        /** One hour: a faulty worker fails jobs within minutes; random failures of a healthy one are further apart. */
        public const val FAILURE_WINDOW_MS: Long = 60L * 60 * 1_000

        /** Limits memory use when many faulty jobs fail; twice the 4,100 jobs of a day. */
        internal const val MAX_JOBS: Int = 8_200
    }
}
