/**
 * Deletes rows that are not needed any more.
 *
 * The accepted row of a job goes soon after its end is stored, so that a takeover reads little more than the open jobs.
 * The progress row stays until callers may no longer ask for the job; without it, a repeated submission would be
 * started again. Both are deleted then, the accepted row first: a repeated submission may have written it anew.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.delay

/** Added to the time for which callers may ask for a finished job; repeated submissions come within seconds. */
private const val RETENTION_MARGIN_MS = 60_000L
private const val COLLECT_EVERY_MS = 5_000L

/** Jobs deleted by one transaction, which takes 100 entries and must not crowd out other writes. */
private const val MAX_JOBS_AT_A_TIME = 40

internal class RowCollector(private val context: TermContext) {
    /** Ended jobs whose accepted rows this leader has deleted. */
    private val trimmed = HashSet<String>()

    suspend fun run() {
        while (true) {
            delay(COLLECT_EVERY_MS)
            trim()
            collect()
        }
    }

    /** Deletes the accepted rows of jobs whose end is stored. */
    suspend fun trim() {
        val ended = context.book.allJobs.filter { !it.isOpen && it.savedPhase.isEnded && it.id !in trimmed }
        for (jobs in ended.map { it.id }.groupBy { Tables.intakePartOf(it) }.values) {
            trimmed += deleteAccepted(jobs.take(MAX_JOBS_AT_A_TIME))
        }
    }

    /** Deletes the rows of the jobs whose time is over. */
    suspend fun collect() {
        val before = context.wallClock() - context.bounds.statusRetentionMs - RETENTION_MARGIN_MS
        val expired = context.book.endedBefore(before).take(MAX_JOBS_AT_A_TIME)
        val collected = expired.groupBy { Tables.intakePartOf(it) }.values.flatMap { deleteAccepted(it) }
        if (collected.isEmpty() || !deleteProgress(collected)) return
        collected.forEach { context.book.forget(it) }
        trimmed -= collected.toSet()
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
