/** Serves job requests from the store, so that any process can answer for any job. */
package dev.bronzeshore.intake

import arrow.core.getOrElse
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.JobOperations
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.ProgressPartRows
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
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

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
    private val silentPartitions = SilentPartitions(clock)
    private val writers = Tables.INTAKE_PARTITIONS.associateWith {
        SubmissionWriter(store, clock, isStoreAvailable, silentPartitions, scope)
    }
    private var waitingCounts: WaitingCounts? = null
    private var countsReadAtMs = 0L

    suspend fun submit(job: AcceptedJob): SubmitAnswer =
        writers.getValue(Tables.intakePartitionOf(job.jobId)).submit(job)

    suspend fun stateOf(jobId: String): StateAnswer {
        val progress = progressOf(jobId)
        if (progress is StateAnswer.Found && progress.phase.isEnded) return progress
        val partitions = coroutineScope {
            IntakeRows.partitionsOf(jobId).map { async { readJobRows(Tables.INTAKE, it, jobId) } }.awaitAll()
        }
        val rows = partitions.filterNotNull().flatten()
        val end = rows.firstOrNull { IntakeRows.endedJobOf(it.id.key) != null }?.value
        val isAccepted = rows.any { it.id.key == jobId }
        return when {
            end != null -> decodeState(jobId, end)

            progress != StateAnswer.NoSuchJob -> progress

            isAccepted && rows.any { Tables.cancelledJobOf(it.id.key) != null } ->
                StateAnswer.Found(JobPhase.CANCELLED)

            isAccepted -> StateAnswer.Found(JobPhase.PENDING)

            null in partitions -> StateAnswer.Unavailable

            // The job may have ended since its progress was read, and its accepted row may have been deleted.
            else -> progressOf(jobId)
        }
    }

    private suspend fun progressOf(jobId: String): StateAnswer {
        val rows = readRows(jobId, ProgressPartRows.rangeWithout(jobId)) ?: return StateAnswer.Unavailable
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
        readRows(jobId, Tables.rowsOfJob(table, partition, jobId))

    private suspend fun readRows(jobId: String, query: RowRangeQuery): List<StoredRow>? = store.readPage(query).fold(
        ifLeft = { failure ->
            log.event("state_unavailable", "job" to jobId, "cause" to failure)
            null
        },
        ifRight = { it.rows },
    )

    /** Stores the cancellation of an unknown job too, because its submission may still be in flight to the store. */
    suspend fun cancel(jobId: String): Boolean {
        val partitions = IntakeRows.partitionsOf(jobId)
        val first = silentPartitions.choose(partitions)
        var outcome = storeCancellation(jobId, first)
        if (outcome !is StoreOutcome.Applied) outcome = storeCancellation(jobId, partitions.first { it != first })
        log.event("cancellation", "job" to jobId, "outcome" to outcome::class.simpleName)
        return outcome is StoreOutcome.Applied
    }

    private suspend fun storeCancellation(jobId: String, partition: String): StoreOutcome {
        val write = RowWrite(Tables.cancelRow(jobId, partition), ByteArray(0))
        return store.transact(StoreTransaction(writes = listOf(write))).also {
            if (it is StoreOutcome.Unknown) silentPartitions.recordSilence(partition)
        }
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
