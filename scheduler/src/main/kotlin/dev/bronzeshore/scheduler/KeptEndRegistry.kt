/**
 * Ends of runs of jobs that are set aside. Not thread-safe.
 *
 * Such an end cannot be recorded in the progress of its job. If it were not acknowledged, it would hold back all later
 * ends of its worker; if it were acknowledged without being stored, its task would run again once the job's rows are
 * repaired. So the ends are stored as they are, and count when a later leader can decode the rows of the job.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.KeptEnd
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.TaskEnd

internal class KeptEndRegistry(private val term: Long) {
    private val formerEnds = HashMap<String, MutableList<KeptEnd>>()
    private val formerRows = HashMap<String, MutableList<RowId>>()
    private val kept = HashMap<String, KeptEndsOfJob>()

    /** Notes a row that a former leader stored. */
    fun restore(jobId: String, row: RowId, ends: List<KeptEnd>) {
        formerRows.getOrPut(jobId) { ArrayList() } += row
        formerEnds.getOrPut(jobId) { ArrayList() } += ends
    }

    /** Keeps an end that [workerId] has reported; returns the row that has changed. */
    fun keep(end: TaskEnd, workerId: String): UnsavedRow {
        val task = end.run.task
        val stored = KeptEnd(
            workerId,
            end.number,
            task.occurrence,
            task.step,
            task.index,
            end.run.run,
            end.kind,
            storedCheckpoint(end.checkpoint),
        )
        return kept.getOrPut(task.jobId) { KeptEndsOfJob(task.jobId, term) }.add(stored)
    }

    /** Removes and returns the ends that former leaders have kept, in the order of the runs. */
    fun takeFormer(jobId: String): List<KeptEnd> = formerEnds.remove(jobId).orEmpty().sortedBy { it.run }

    /** All rows with ends of the job. */
    fun rowsOf(jobId: String): List<RowId> = formerRows[jobId].orEmpty() + kept[jobId]?.rows.orEmpty()

    /** Forgets a job whose rows are deleted. */
    fun forget(jobId: String) {
        formerEnds.remove(jobId)
        formerRows.remove(jobId)
        kept.remove(jobId)
    }
}
