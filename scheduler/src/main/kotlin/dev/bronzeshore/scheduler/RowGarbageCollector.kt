/**
 * Deletes rows that are no longer needed.
 *
 * The accepted row of a job is deleted soon after the job's end is stored, so that a takeover reads little more than
 * the open jobs. The progress row is kept until the status retention is over; without it, a repeated submission would
 * start the job again. Then both are deleted, the accepted row first, as a repeated submission may have rewritten it.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.delay

/** Added to the status retention of ended jobs; repeated submissions arrive within seconds. */
private const val RETENTION_MARGIN_MS = 60_000L
private const val COLLECTION_PERIOD_MS = 5_000L

/** Jobs deleted by one transaction, which holds up to 100 entries and must not delay other writes. */
private const val MAX_JOBS_IN_TRANSACTION = 30

/** Rows deleted by one transaction, which holds up to 100 entries. */
private const val MAX_ROWS_IN_TRANSACTION = 90

/** Jobs deleted in one period, 100 a second. If more end in the same time, their ends fill the leader's memory. */
private const val MAX_JOBS_IN_PERIOD = 500

internal class RowGarbageCollector(private val context: TermContext) {
    /** Ended jobs whose accepted rows this leader has deleted. */
    private val jobsWithoutAcceptedRow = HashSet<String>()

    /** Waits for one period and deletes what has become due. */
    suspend fun runOnce() {
        delay(COLLECTION_PERIOD_MS)
        deleteAcceptedRows()
        deletePartsOfEndedJobs()
        deletePartsOfDoneOccurrences()
        deleteExpiredJobs()
    }

    /** Deletes the rows of parts of the progress of jobs whose end is stored. */
    private suspend fun deletePartsOfEndedJobs() {
        for (jobId in context.jobRegistry.endedWithParts) {
            val isStored = context.jobRegistry.find(jobId)?.savedPhase?.isEnded ?: true
            if (!isStored || !context.changes.areSaved(jobId)) continue
            val rows = context.jobRegistry.partRowsOf(jobId)
            if (delete(rows)) context.jobRegistry.forgetParts(jobId, rows)
        }
    }

    /** Deletes the rows of parts of occurrences that are done. */
    private suspend fun deletePartsOfDoneOccurrences() {
        for (job in context.jobRegistry.openJobs.toList()) {
            val rows = job.progressRows.obsoleteParts(context.changes::isSaved)
            if (rows.isNotEmpty() && delete(rows)) job.progressRows.forget(rows)
        }
    }

    private suspend fun delete(rows: List<RowId>): Boolean {
        val condition = RowCondition(Tables.TERM_ROW, context.termRowVersion)
        return rows.chunked(MAX_ROWS_IN_TRANSACTION).all {
            context.store.transact(StoreTransaction(listOf(condition), deletes = it)) is StoreOutcome.Applied
        }
    }

    /** Deletes the accepted rows of jobs whose end is stored. */
    suspend fun deleteAcceptedRows() {
        val ended = context.jobRegistry.allJobs
            .filter { !it.isOpen && it.savedPhase.isEnded && it.id !in jobsWithoutAcceptedRow }
        for (jobs in ended.map { it.id }.groupBy { Tables.intakePartitionOf(it) }.values) {
            jobsWithoutAcceptedRow += deleteIntakeRows(jobs.take(MAX_JOBS_IN_TRANSACTION))
        }
    }

    /** Deletes all rows of jobs whose status retention is over. */
    suspend fun deleteExpiredJobs() {
        val endedBeforeMs = context.wallClock() - context.bounds.statusRetentionMs - RETENTION_MARGIN_MS
        val expired = context.jobRegistry.endedBefore(endedBeforeMs).take(MAX_JOBS_IN_PERIOD)
        val collected = expired.groupBy { Tables.intakePartitionOf(it) }.values
            .flatMap { it.chunked(MAX_JOBS_IN_TRANSACTION) }
            .flatMap { deleteIntakeRows(it, withEnd = true) }
            .chunked(MAX_JOBS_IN_TRANSACTION)
            .filter { deleteProgress(it) }
            .flatten()
        if (collected.isEmpty()) return
        collected.forEach { context.jobRegistry.forget(it) }
        collected.forEach { context.keptEnds.forget(it) }
        jobsWithoutAcceptedRow -= collected.toSet()
        context.log.event("rows_deleted", "jobs" to collected.size)
    }

    /** Returns the jobs whose rows are certainly deleted. */
    private suspend fun deleteIntakeRows(jobIds: List<String>, withEnd: Boolean = false): List<String> {
        val (inBoth, inOne) = deleteIntakeRows(jobIds, Tables::intakePartitionOf, withEnd)
            .partition { context.jobRegistry.isInAlternatePartition(it) }
        val partitions = inBoth.groupBy { IntakeRows.alternatePartitionOf(it) }.values
        return inOne + partitions.flatMap { deleteIntakeRows(it, IntakeRows::alternatePartitionOf, withEnd) }
    }

    private suspend fun deleteIntakeRows(
        jobIds: List<String>,
        partitionOf: (String) -> String,
        withEnd: Boolean,
    ): List<String> {
        val rows = jobIds.flatMap {
            val partition = partitionOf(it)
            listOfNotNull(
                Tables.acceptedRow(it, partition),
                Tables.cancelRow(it, partition),
                IntakeRows.endRow(it, partition).takeIf { withEnd },
            )
        }
        val outcome = context.store.transact(StoreTransaction(deletes = rows))
        return if (outcome is StoreOutcome.Applied) jobIds else emptyList()
    }

    private suspend fun deleteProgress(jobIds: List<String>): Boolean {
        // Without the row that says that the job has ended, its parts would be those of an open job.
        val parts = jobIds.flatMap { context.jobRegistry.partRowsOf(it) }
        return delete(parts) && delete(jobIds.flatMap { listOf(Tables.progressRow(it)) + context.keptEnds.rowsOf(it) })
    }
}
