/** Serves job requests from the store, so that any process can answer for any job. */
package dev.bronzeshore.intake

import arrow.core.getOrElse
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.JobOperations
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.WaitingCounts
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.CoroutineScope

/** Callers accept counts that are up to two seconds old; the leader writes them up to half a second late. */
private const val COUNTS_MAX_AGE_MS = 700L

/** Creates job operations on [store]; their writers run in [scope]. */
public fun createStoreJobOperations(
    store: ClusterStore,
    clock: ClockMs,
    isStoreAvailable: () -> Boolean,
    scope: CoroutineScope,
): JobOperations {
    val operations = StoreJobOperations(store, clock, isStoreAvailable, scope)
    return JobOperations(operations::submit, operations::stateOf, operations::cancel, operations::waitingJobCount)
}

private class StoreJobOperations(
    private val store: ClusterStore,
    private val clock: ClockMs,
    isStoreAvailable: () -> Boolean,
    scope: CoroutineScope,
) {
    private val log = EventLog("intake")
    private val writers = Tables.INTAKE_PARTITIONS.associateWith {
        SubmissionWriter(store, clock, isStoreAvailable, scope)
    }
    private var waitingCounts: WaitingCounts? = null
    private var countsReadAtMs = 0L

    suspend fun submit(job: AcceptedJob): SubmitAnswer =
        writers.getValue(Tables.intakePartitionOf(job.jobId)).submit(job)

    suspend fun stateOf(jobId: String): StateAnswer {
        val progress = progressOf(jobId)
        if (progress is StateAnswer.Found && progress.phase.isEnded) return progress
        val intakeRows = readJobRows(Tables.INTAKE, Tables.intakePartitionOf(jobId), jobId)
            ?: return StateAnswer.Unavailable
        val end = intakeRows.firstOrNull { Tables.endedJobOf(it.id.key) != null }?.value
        return when {
            end != null -> decodeState(jobId, end)

            progress != StateAnswer.NoSuchJob -> progress

            // The job may have ended since its progress was read, and its accepted row may have been deleted.
            intakeRows.none { it.id.key == jobId } -> progressOf(jobId)

            intakeRows.any { Tables.cancelledJobOf(it.id.key) != null } -> StateAnswer.Found(JobPhase.CANCELLED)

            else -> StateAnswer.Found(JobPhase.PENDING)
        }
    }

    private suspend fun progressOf(jobId: String): StateAnswer {
        val rows = readJobRows(Tables.PROGRESS, Tables.LEADER_PARTITION, jobId) ?: return StateAnswer.Unavailable
        val value = rows.firstOrNull { it.id.key == jobId }?.value ?: return StateAnswer.NoSuchJob
        return decodeState(jobId, value)
    }

    private fun decodeState(jobId: String, value: ByteArray): StateAnswer =
        decodeRow(JobProgress.serializer(), value).fold(
            ifLeft = { cause ->
                log.event("progress_malformed", "job" to jobId, "cause" to cause)
                StateAnswer.Unavailable
            },
            ifRight = { StateAnswer.Found(it.phase) },
        )

    private suspend fun readJobRows(table: String, partition: String, jobId: String): List<StoredRow>? =
        store.readPage(Tables.rowsOfJob(table, partition, jobId)).fold(
            ifLeft = { failure ->
                log.event("state_unavailable", "job" to jobId, "cause" to failure)
                null
            },
            ifRight = { it.rows },
        )

    /** Stores the cancellation of an unknown job too, because its submission may still be in flight to the store. */
    suspend fun cancel(jobId: String): Boolean {
        val transaction = StoreTransaction(writes = listOf(RowWrite(Tables.cancelRow(jobId), ByteArray(0))))
        var outcome = store.transact(transaction)
        if (outcome is StoreOutcome.Unknown) outcome = store.transact(transaction)
        log.event("cancellation", "job" to jobId, "outcome" to outcome::class.simpleName)
        return outcome is StoreOutcome.Applied
    }

    suspend fun waitingJobCount(queue: String): Int? {
        if (clock() - countsReadAtMs > COUNTS_MAX_AGE_MS) readCounts()
        return waitingCounts?.let { it.byQueue[queue] ?: 0 }
    }

    private suspend fun readCounts() {
        val query = RowRangeQuery(
            Tables.LEADER_STATE,
            Tables.LEADER_PARTITION,
            Tables.WAITING_ROW.key,
            Tables.WAITING_ROW.key + "~",
        )
        val page = store.readPage(query).getOrNull() ?: return
        countsReadAtMs = clock()
        waitingCounts = page.rows.firstOrNull()?.value?.let { decodeCounts(it) } ?: WaitingCounts(emptyMap())
    }

    /** Keeps the counts of before if the row is malformed; the leader soon writes it again. */
    private fun decodeCounts(value: ByteArray): WaitingCounts? =
        decodeRow(WaitingCounts.serializer(), value).getOrElse {
            log.event("counts_malformed", "cause" to it)
            waitingCounts
        }
}
