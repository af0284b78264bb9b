/** Rebuilds the state of a data centre after a takeover from the rows of open jobs and the workers' reports. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.RowRange
import dev.bronzeshore.core.TASK_LEASE_MS
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.WorkKind

private const val ROWS_PER_READ = 1_000

internal class JobRecovery(
    private val context: JobsContext,
    private val tracker: JobTracker,
    private val sessions: WorkerSessions,
) {
    /** Reads all open jobs of the data centre. */
    suspend fun readOpenJobs(table: TableApi): Either<Fault, List<JobRecord>> {
        val records = mutableListOf<JobRecord>()
        var afterKey = ""
        while (true) {
            val range = RowRange(JobRows.openPrefix(context.authority.dataCentre), afterKey, ROWS_PER_READ)
            val rows = table.readRange(range).fold({ return Either.Left(it) }, { it })
            rows.mapTo(records) { JobRows.parse(it) }
            if (rows.size < ROWS_PER_READ) return records.right()
            afterKey = rows.last().key
        }
    }

    /** Tracks jobs of the previous owner; parts that no worker reports stay unaccounted until [isComplete]. */
    fun adopt(records: List<JobRecord>) = records.forEach { record ->
        val kind = context.kindOf(record.plan, record.submission.kind) ?: defaultKind(record)
        val job = TrackedJob(record, kind)
        job.parts.forEach {
            it.state = PartState.UNACCOUNTED
            // The previous owner may have started and stopped it.
            it.mayHaveRun = true
        }
        tracker.add(job)
    }

    /** True once no attempt that was not reported can still run. */
    fun isComplete(): Boolean {
        val allLeasesEndedAtMs = context.authority.previousEffectsUntilMs + TASK_LEASE_MS + 2 * MAX_CLOCK_SKEW_MS
        return context.clock() > allLeasesEndedAtMs || sessions.all.all { it.observedAtMs > 0 }
    }

    /** Requeues the parts that no worker reported. */
    fun requeueAllUnaccounted() = tracker.openJobs.toList().forEach(tracker::requeueUnaccounted)

    /** The kind may have been removed from the plan since the job was accepted; the job runs nevertheless. */
    private fun defaultKind(record: JobRecord) = WorkKind(record.submission.kind, Policy.BATCH)
}
