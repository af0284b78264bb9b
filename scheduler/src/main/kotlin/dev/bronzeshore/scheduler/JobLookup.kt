/**
 * Reads jobs that a worker reports before the change feed of the intake table has delivered them.
 *
 * A former leader may have started a job that was stored after this leader read the table. If the job were unknown, its
 * run would be stopped, or its end would be acknowledged without effect, so that the task would run again.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.Tables

internal class JobLookup(private val context: TermContext, private val lifecycle: JobLifecycle) {
    /** Jobs that ended long ago, so that their rows have been deleted. */
    private val absentJobs = HashSet<String>()

    /** True if all jobs of [report] are known. Otherwise reads them; the caller polls the worker again afterwards. */
    suspend fun ensureJobsKnown(report: HoldAnswer.Report): Boolean {
        val named = report.running.map { it.run.task.jobId } + report.ends.map { it.run.task.jobId }
        val unknown = named.toSet().filterNot { isKnown(it) }
        unknown.forEach { read(it) }
        return unknown.isEmpty()
    }

    private fun isKnown(jobId: String) = context.jobRegistry.find(jobId) != null ||
        context.jobRegistry.isEnded(jobId) ||
        context.jobRegistry.isSetAside(jobId) ||
        jobId in absentJobs

    private suspend fun read(jobId: String) {
        for (partition in IntakeRows.partitionsOf(jobId)) {
            val page = context.store.readPage(Tables.rowsOfJob(Tables.INTAKE, partition, jobId)).fold(
                ifLeft = { return context.log.event("job_lookup", "job" to jobId, "outcome" to it) },
                ifRight = { it },
            )
            page.rows.forEach { applyIntakeRow(it, lifecycle) }
            context.log.event("job_lookup", "job" to jobId, "outcome" to "read", "rows" to page.rows.size)
            if (page.rows.any { it.id.key == jobId }) return
        }
        absentJobs += jobId
    }
}
