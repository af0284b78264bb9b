/**
 * Opens the occurrences of scheduled jobs as they become due.
 *
 * The load it answers: jobs whose occurrences are due faster than they run, or that were due long ago. One occurrence
 * of each job is open as soon as it is due. Further ones are open at the same time only up to a bound on their
 * tasks; the others wait as numbers, and are opened when earlier ones are done.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.tasksInOccurrence

/** Tasks of the further open occurrences of all jobs. */
internal const val MAX_BACKLOG_TASKS = 10_000

/** The same for one job, so that it leaves room to the others and its progress fits in a row of the store. */
internal const val MAX_BACKLOG_TASKS_PER_JOB = 500

internal class OccurrenceOpener(private val jobs: JobRegistry) {
    /** Opens what is due at the wall-clock time [timeMs]. */
    fun openDue(timeMs: Long) {
        var backlog = jobs.openJobs.sumOf { it.backlogTasks }
        for (job in jobs.openJobs) {
            while (job.isNextDue(timeMs) && (job.occurrences.openCount == 0 || mayAddTo(job, backlog))) {
                val before = job.backlogTasks
                job.occurrences.openNext()
                backlog += job.backlogTasks - before
            }
        }
    }

    private fun TrackedJob.isNextDue(timeMs: Long) = occurrences.nextDueAtMs()?.let { it <= timeMs } ?: false

    private fun mayAddTo(job: TrackedJob, backlog: Int): Boolean {
        val added = job.accepted.description.tasksInOccurrence
        return job.backlogTasks + added <= MAX_BACKLOG_TASKS_PER_JOB && backlog + added <= MAX_BACKLOG_TASKS
    }
}

/** Tasks of the open occurrences after the first one. */
private val TrackedJob.backlogTasks: Int
    get() = (occurrences.openCount - 1).coerceAtLeast(0) * accepted.description.tasksInOccurrence
