/**
 * Reads jobs that a worker names before the feed of accepted jobs has brought them.
 *
 * A former leader may have started a job that was stored after this leader read the table. Without the job, its run
 * would be stopped and its end would be acknowledged without effect, so that the task would run again.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.RowPage
import dev.bronzeshore.core.cluster.Tables

internal class JobLookup(private val context: TermContext, private val lifecycle: JobLifecycle) {
    /** Jobs whose rows have been deleted, because they ended long ago. */
    private val absentJobs = HashSet<String>()

    /** True if all jobs of [report] are known. Otherwise reads them; the worker has to be asked again afterwards. */
    suspend fun knowsJobsOf(report: HoldAnswer.Report): Boolean {
        val named = report.running.map { it.run.task.jobId } + report.ends.map { it.run.task.jobId }
        val unknown = named.toSet().filterNot { isKnown(it) }
        unknown.forEach { read(it) }
        return unknown.isEmpty()
    }

    private fun isKnown(jobId: String) =
        context.book.find(jobId) != null || context.book.isEnded(jobId) || jobId in absentJobs

    private suspend fun read(jobId: String) {
        val query = Tables.rowsOfJob(Tables.INTAKE, Tables.intakePartitionOf(jobId), jobId)
        context.store.readPage(query).fold(
            ifLeft = { context.log.event("job_lookup", "job" to jobId, "outcome" to it) },
            ifRight = { take(jobId, it) },
        )
    }

    private fun take(jobId: String, page: RowPage) {
        page.rows.forEach { takeIntake(it, lifecycle) }
        if (page.rows.none { it.id.key == jobId }) absentJobs += jobId
        context.log.event("job_lookup", "job" to jobId, "outcome" to "read", "rows" to page.rows.size)
    }
}
