/**
 * Stores accepted jobs, several in one transaction.
 *
 * A job is accepted when its row exists. The row of a job that was submitted before stays as it is, so that a repeated
 * submission is one job. Nobody waits for a batch to fill: a transaction takes whatever has come while the one before
 * was on its way.
 */
package dev.bronzeshore.intake

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** A transaction takes 100 entries and 1 MB; a job takes two entries and at most about 12 KB. */
private const val MAX_BATCH = 45

/** Jobs waiting for a transaction; more are refused at once, because the store is then far behind. */
private const val MAX_WAITING = 400
private const val STORE_RETRY_MS = 1_000L

/** Time for which a refused write is tried again; callers wait three seconds for an answer. */
private const val RETRY_REFUSED_MS = 300L
private const val REFUSED_PAUSE_MS = 100L

private class PendingJob(val job: AcceptedJob, val answer: CompletableDeferred<SubmitAnswer> = CompletableDeferred())

/** Writes the jobs of one part of the intake table; runs in [scope]. */
internal class SubmissionWriter(
    private val store: ClusterStore,
    private val clock: ClockMs,
    /** False while the store refuses all calls of this process, so that trying again only delays the answer. */
    private val isServed: () -> Boolean,
    scope: CoroutineScope,
) {
    private val log = EventLog("intake")
    private val pending = Channel<PendingJob>(MAX_WAITING)

    init {
        scope.launch { while (true) write(nextBatch()) }
    }

    suspend fun submit(job: AcceptedJob): SubmitAnswer {
        val entry = PendingJob(job)
        if (!pending.trySend(entry).isSuccess) return rejected("the store is too far behind")
        return entry.answer.await()
    }

    private suspend fun nextBatch(): List<PendingJob> {
        val batch = mutableListOf(pending.receive())
        while (batch.size < MAX_BATCH) batch += pending.tryReceive().getOrNull() ?: break
        return batch
    }

    private suspend fun write(batch: List<PendingJob>) {
        var open = batch
        var isSettling = false
        val retryUntilMs = clock() + RETRY_REFUSED_MS
        while (open.isNotEmpty()) {
            when (val outcome = store.transact(transactionFor(open))) {
                is StoreOutcome.Applied -> return open.answerAll(SubmitAnswer.Accepted)

                is StoreOutcome.Conflict -> {
                    val stored = outcome.rows.filter { it.value != null }.map { it.id.key }.toSet()
                    if (stored.isEmpty()) return open.answerAll(SubmitAnswer.Unknown("conflict without a stored job"))
                    open.filter { it.job.jobId in stored }.answerAll(SubmitAnswer.Accepted)
                    open = open.filter { it.job.jobId !in stored }
                }

                // A part refuses calls when it is far behind; it catches up within a second or two.
                is StoreOutcome.NotApplied -> {
                    if (!isServed() ||
                        clock() >= retryUntilMs
                    ) {
                        return open.answerAll(refusal(outcome.reason, isSettling))
                    }
                    delay(REFUSED_PAUSE_MS)
                }

                // A second attempt under the same condition finds out whether the first one took effect.
                is StoreOutcome.Unknown -> {
                    if (isSettling) return open.answerAll(SubmitAnswer.Unknown(outcome.reason))
                    isSettling = true
                }
            }
        }
    }

    private fun transactionFor(batch: List<PendingJob>): StoreTransaction {
        val jobs = batch.map { it.job }.distinctBy { it.jobId }
        return StoreTransaction(
            conditions = jobs.map { RowCondition(Tables.acceptedRow(it.jobId), version = 0) },
            writes = jobs.map { RowWrite(Tables.acceptedRow(it.jobId), encodeRow(AcceptedJob.serializer(), it)) },
        )
    }

    private fun List<PendingJob>.answerAll(answer: SubmitAnswer) = forEach {
        log.event("submission", "job" to it.job.jobId, "queue" to it.job.terms.queue, "outcome" to answer)
        it.answer.complete(answer)
    }

    private fun refusal(reason: String, isSettling: Boolean) =
        if (isSettling) SubmitAnswer.Unknown(reason) else rejected(reason)

    private fun rejected(reason: String) = SubmitAnswer.Rejected(reason, STORE_RETRY_MS, isOverload = false)
}
