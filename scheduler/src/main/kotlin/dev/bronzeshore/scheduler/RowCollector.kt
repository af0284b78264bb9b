/**
 * Deletes the rows of jobs that ended some time ago.
 *
 * The accepted row goes first: a job whose progress row is gone would be started again.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.delay

/** Added to the time for which callers may ask for a finished job; repeated submissions come within seconds. */
private const val RETENTION_MARGIN_MS = 60_000L
private const val COLLECT_EVERY_MS = 5_000L

/** Rows of jobs deleted at a time, so that the deletions never crowd out other writes. */
private const val MAX_JOBS_AT_A_TIME = 40

internal class RowCollector(private val context: TermContext) {
    suspend fun run() {
        while (true) {
            delay(COLLECT_EVERY_MS)
            collect()
        }
    }

    /** Deletes the rows of the jobs whose time is over. */
    suspend fun collect() {
        val before = context.timeOfDay() - context.bounds.statusRetentionMs - RETENTION_MARGIN_MS
        val expired = context.book.endedBefore(before).take(MAX_JOBS_AT_A_TIME)
        val collected = expired.groupBy { Tables.intakePartOf(it) }.values.flatMap { deleteAccepted(it) }
        if (collected.isEmpty() || !deleteProgress(collected)) return
        collected.forEach { context.book.forget(it) }
        context.log.event("rows_deleted", "jobs" to collected.size)
    }

    /** The jobs whose rows are deleted for certain. */
    private suspend fun deleteAccepted(jobIds: List<String>): List<String> {
        val rows = jobIds.flatMap { listOf(Tables.acceptedRow(it), Tables.cancelRow(it)) }
        val outcome = context.store.transact(StoreTransaction(deletes = rows))
        return if (outcome is StoreOutcome.Applied) jobIds else emptyList()
    }

    private suspend fun deleteProgress(jobIds: List<String>): Boolean {
        val condition = RowCondition(Tables.TERM_ROW, context.termRowVersion)
        val transaction = StoreTransaction(listOf(condition), deletes = jobIds.map { Tables.progressRow(it) })
        return context.store.transact(transaction) is StoreOutcome.Applied
    }
}
