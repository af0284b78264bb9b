/**
 * The runs that former leaders may have started, and that this leader does not know of.
 *
 * Starts are not stored, so such a run may be on each worker of the stored roster until that worker has reported all
 * its runs and ends, or its leases have expired.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

internal class FormerRuns(private val context: TermContext, private val leases: LeaseExpiry) {
    /** Workers that a former leader may have used, with the jobs that may run there; null stands for any job. */
    private val jobsByWorker = HashMap<TrackedWorker, Set<String>?>()

    /** The stored roster cannot be decoded, so that a former leader may have used workers which are not known. */
    var isRosterUnknown: Boolean = false

    private val unreportedWorkers: List<TrackedWorker>
        get() = context.clock().let { now -> jobsByWorker.keys.filter { mayHaveUnknownRuns(it, now) } }

    private val hasUnknownWorkers: Boolean get() = isRosterUnknown && !leases.areFormerOver(context.clock())

    /** True while such runs may exist on workers that have not reported all of them yet. */
    val hasUnknownRuns: Boolean get() = hasUnknownWorkers || unreportedWorkers.isNotEmpty()

    /** Capacity of the workers on which such runs may exist; null if it is not known of all of them. */
    val unreportedCapacity: Resources?
        get() {
            val unreported = unreportedWorkers
            if (hasUnknownWorkers || unreported.any { it.entry.capacity == Resources.NONE }) return null
            return unreported.fold(Resources.NONE) { sum, worker -> sum + worker.entry.capacity }
        }

    /** True if such a run may belong to the job. */
    fun mayHaveUnknownRuns(jobId: String): Boolean =
        hasUnknownWorkers || unreportedWorkers.any { worker -> jobsByWorker[worker]?.contains(jobId) ?: true }

    /** Notes that a former leader may have used [worker], for [heldJobs] or, if that is null, for any job. */
    fun add(worker: TrackedWorker, heldJobs: Set<String>?) {
        jobsByWorker[worker] = heldJobs
    }

    /** What [predecessor] may have, its [successor] under the same id may have carried out. */
    fun moveTo(successor: TrackedWorker, predecessor: TrackedWorker) {
        if (predecessor in jobsByWorker && successor !in jobsByWorker && !predecessor.hasReportedAll) {
            jobsByWorker[successor] = jobsByWorker[predecessor]
        }
    }

    /** Leases of a worker with further ends do not expire with those of the former leader: this leader renews them. */
    private fun mayHaveUnknownRuns(worker: TrackedWorker, now: Long): Boolean = when {
        worker.isGone || worker.hasReportedAll -> false
        worker.hasFurtherEnds && (worker.isReachable || !leases.isOver(worker, now)) -> true
        else -> !leases.areFormerOver(now)
    }
}
