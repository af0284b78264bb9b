/**
 * Stores accepted jobs, several in one transaction.
 *
 * A job is accepted once its row exists. The row of a job that was submitted before stays unchanged, so that repeated
 * submissions are idempotent. If the partition does not respond, the jobs are stored in their alternate one; a job that
 * is stored in both is still one job. A transaction does not wait for a full batch: it takes all jobs that have arrived
 * while the previous one was in flight.
 */
package dev.bronzeshore.intake

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.MAX_TRANSACTION_ENTRIES
import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.TransactionSize
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** A job takes two entries of a transaction. */
private const val MAX_BATCH_SIZE = MAX_TRANSACTION_ENTRIES / 2

/** Jobs that may wait for a transaction; more are rejected at once, because the store then has a long backlog. */
private const val MAX_PENDING_JOBS = 400

/** A partition with a long backlog catches up within a second or two. */
private const val RETRY_AFTER_MS = 1_000L

/** How long a write that the store refuses is retried; callers wait three seconds for an answer. */
private const val MAX_RETRY_TIME_MS = 300L
private const val RETRY_DELAY_MS = 100L

private class PendingJob(val job: AcceptedJob) {
    val answer = CompletableDeferred<SubmitAnswer>()
    private val value = encodeRow(AcceptedJob.serializer(), job)

    fun toWrite(partition: String) = RowWrite(Tables.acceptedRow(job.jobId, partition), value)
}

/** Writes the jobs of one partition of the intake table; runs in [scope]. */
internal class SubmissionWriter(
    private val store: ClusterStore,
    private val clock: ClockMs,
    /** False while the store refuses all calls of this process, so that a retry only delays the answer. */
    private val isStoreAvailable: () -> Boolean,
    private val silentPartitions: SilentPartitions,
    scope: CoroutineScope,
) {
    private val log = EventLog("intake")
    private val pending = Channel<PendingJob>(MAX_PENDING_JOBS)

    /** The first job of the next batch, for which the last one had no room. */
    private var leftOver: PendingJob? = null

    init {
        scope.launch { while (true) writeOrAnswerUnknown(nextBatch()) }
    }

    suspend fun submit(job: AcceptedJob): SubmitAnswer {
        val entry = PendingJob(job)
        if (!pending.trySend(entry).isSuccess) return rejected(ResultCode.QUEUE_FULL, "the store is too far behind")
        return entry.answer.await()
    }

    private suspend fun nextBatch(): List<PendingJob> {
        val first = leftOver ?: pending.receive()
        leftOver = null
        val size = TransactionSize()
        val batch = mutableListOf(first)
        size.add(first.toWrite(Tables.intakePartitionOf(first.job.jobId)))
        while (batch.size < MAX_BATCH_SIZE) {
            val next = pending.tryReceive().getOrNull() ?: break
            if (!size.add(next.toWrite(Tables.intakePartitionOf(next.job.jobId)))) {
                leftOver = next
                break
            }
            batch += next
        }
        return batch
    }

    /** An unexpected error ends this batch only; its callers learn that the outcome is unknown. */
    private suspend fun writeOrAnswerUnknown(batch: List<PendingJob>) = try {
        write(batch)
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        log.event("unexpected_error", "work" to "submission", "cause" to failure.stackTraceToString())
        batch.answerAll(SubmitAnswer.Unknown("unexpected error"))
    }

    private suspend fun write(batch: List<PendingJob>) {
        var open = batch
        var isUncertain = false
        val partitions = IntakeRows.partitionsOf(batch.first().job.jobId)
        var partition = silentPartitions.choose(partitions)
        val retryUntilMs = clock() + MAX_RETRY_TIME_MS
        while (open.isNotEmpty()) {
            when (val outcome = store.transact(transactionFor(open, partition))) {
                is StoreOutcome.Applied -> return open.answerAll(SubmitAnswer.Accepted)

                is StoreOutcome.Conflict -> {
                    val stored = outcome.rows.filter { it.value != null }.map { it.id.key }.toSet()
                    if (stored.isEmpty()) return open.answerAll(SubmitAnswer.Unknown("conflict without a stored job"))
                    open.filter { it.job.jobId in stored }.answerAll(SubmitAnswer.Accepted)
                    open = open.filter { it.job.jobId !in stored }
                }

                // A partition with a long backlog refuses calls; it catches up within one or two seconds.
                is StoreOutcome.NotApplied -> {
                    if (!isStoreAvailable() ||
                        clock() >= retryUntilMs
                    ) {
                        return open.answerAll(rejectedOrUnknown(outcome.reason, isUncertain))
                    }
                    delay(RETRY_DELAY_MS)
                    partition = partitions.first { it != partition }
                }

                // The first attempt may still take effect, so the jobs are never rejected after it.
                is StoreOutcome.Unknown -> {
                    silentPartitions.recordSilence(partition)
                    if (isUncertain || !isStoreAvailable()) return open.answerAll(SubmitAnswer.Unknown(outcome.reason))
                    isUncertain = true
                    partition = partitions.first { it != partition }
                }
            }
        }
    }

    private fun transactionFor(batch: List<PendingJob>, partition: String): StoreTransaction {
        val writes = batch.distinctBy { it.job.jobId }.map { it.toWrite(partition) }
        return StoreTransaction(conditions = writes.map { RowCondition(it.id, version = 0) }, writes = writes)
    }

    private fun List<PendingJob>.answerAll(answer: SubmitAnswer) = forEach {
        log.event("submission", "job" to it.job.jobId, "queue" to it.job.terms.queue, "outcome" to answer)
        it.answer.complete(answer)
    }

    private fun rejectedOrUnknown(reason: String, isUncertain: Boolean) =
        if (isUncertain) SubmitAnswer.Unknown(reason) else rejected(ResultCode.STORE_UNAVAILABLE, reason)

    private fun rejected(code: ResultCode, reason: String) = SubmitAnswer.Rejected(code, reason, RETRY_AFTER_MS)
}
