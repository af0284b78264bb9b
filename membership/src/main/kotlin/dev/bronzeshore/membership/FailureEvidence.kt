/** Which jobs failed on which workers, as evidence against a worker. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.deadlineIn

/**
 * Counts the jobs that speak against a worker.
 *
 * A job speaks against a worker if it failed there and either failed on no other worker or succeeded on more other
 * workers than it failed on. A job that fails in many places is itself broken and speaks against nobody. Each failure
 * counts until a stored deadline. Not thread-safe: it belongs to the control thread.
 */
public class FailureEvidence(private val clock: ClockMs, private val countsForMs: Long = COUNTS_FOR_MS) {
    // In the order of the last failure, so that the oldest are found first.
    private val jobs = LinkedHashMap<String, JobOutcomes>()
    private val jobsByWorker = HashMap<String, MutableSet<String>>()

    /** Records a failure and returns the other workers where this job failed: the case against them is weaker now. */
    public fun recordFailure(workerId: String, jobId: String): Set<String> {
        forgetOld()
        val outcomes = jobs.remove(jobId) ?: JobOutcomes()
        outcomes.failedOn[workerId] = clock.deadlineIn(countsForMs)
        outcomes.succeededOn -= workerId
        jobs[jobId] = outcomes
        jobsByWorker.getOrPut(workerId) { LinkedHashSet() } += jobId
        return outcomes.failedOn.keys - workerId
    }

    /** Records a success; only successes of jobs that also failed somewhere tell anything. */
    public fun recordSuccess(workerId: String, jobId: String) {
        val outcomes = jobs[jobId] ?: return
        if (workerId !in outcomes.failedOn) {
            outcomes.succeededOn += workerId
        }
    }

    /** How many different jobs speak against the worker now. */
    public fun jobsAgainst(workerId: String): Int {
        val nowMs = clock()
        return jobsByWorker[workerId].orEmpty().count { jobId -> jobs[jobId]?.speaksAgainst(workerId, nowMs) == true }
    }

    /** Forgets the failures on a worker that has proved itself or has been replaced. */
    public fun clear(workerId: String) {
        for (jobId in jobsByWorker.remove(workerId).orEmpty()) {
            val outcomes = jobs[jobId] ?: continue
            outcomes.failedOn -= workerId
            if (outcomes.failedOn.isEmpty()) {
                jobs -= jobId
            }
        }
    }

    /** Number of jobs that are remembered. */
    internal val jobCount: Int get() = jobs.size

    private fun forgetOld() {
        val nowMs = clock()
        val oldest = jobs.iterator()
        while (oldest.hasNext()) {
            val (jobId, outcomes) = oldest.next()
            if (jobs.size < MAX_JOBS && outcomes.failedOn.values.any { it > nowMs }) {
                return
            }
            oldest.remove()
            outcomes.failedOn.keys.forEach { forget(it, jobId) }
        }
    }

    private fun forget(workerId: String, jobId: String) {
        val ids = jobsByWorker[workerId] ?: return
        ids -= jobId
        if (ids.isEmpty()) {
            jobsByWorker -= workerId
        }
    }

    private class JobOutcomes {
        val failedOn = HashMap<String, Long>()
        val succeededOn = HashSet<String>()

        fun speaksAgainst(workerId: String, nowMs: Long): Boolean {
            val untilMs = failedOn[workerId] ?: return false
            val failedElsewhere = failedOn.size - 1
            return untilMs > nowMs && (failedElsewhere == 0 || succeededOn.size > failedElsewhere)
        }
    }

    public companion object {
        /** An hour: a bad worker fails jobs within minutes, while chance failures of a good one are further apart. */
        public const val COUNTS_FOR_MS: Long = 60L * 60 * 1_000

        /** Bounds memory when a wave of broken jobs fails; twice the 4,100 jobs of a day. */
        internal const val MAX_JOBS: Int = 8_200
    }
}
