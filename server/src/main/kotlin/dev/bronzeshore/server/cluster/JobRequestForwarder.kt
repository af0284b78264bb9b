/**
 * Forwards callers' requests to another process while the store is unavailable to this one.
 *
 * The store may refuse single machines while it serves the others, and a connection may stop delivering data. Storing
 * the same job through two processes is safe: its row is written once.
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobOperations
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Peers tried per request; the second one covers a first one that is down. */
private const val MAX_PEERS = 2

/** The store answers in 10 ms; after this time this process's connection to it may be dead. */
private const val HEDGE_AFTER_MS = 450L

/** Factor on the typical write time: in a slow period a hedged write would only add to the load. */
private const val HEDGE_FACTOR = 3

/** Timeout of one peer's attempt to store a forwarded job. */
private const val PEER_SUBMIT_TIMEOUT_MS = 1_300L

internal class JobRequestForwarder(
    private val local: JobOperations,
    private val health: StoreHealth,
    private val peers: () -> List<NodeRow>,
    private val client: TimedPeerClient,
) {
    private val log = EventLog("intake")

    /** Stores a job that a peer has forwarded; rejects it at once if the store is unavailable here as well. */
    suspend fun submitLocally(job: AcceptedJob): SubmitAnswer =
        if (health.isAvailable) local.submit(job) else storeUnavailable()

    suspend fun submit(job: AcceptedJob): SubmitAnswer =
        if (health.isAvailable) submitHedged(job) else forward(job, storeUnavailable())

    private fun storeUnavailable() = SubmitAnswer.Rejected(
        ResultCode.STORE_UNAVAILABLE,
        "the store does not serve this process",
        health.retryAfterMs,
    )

    /** Starts a write from this process; if it takes too long, a peer writes the same row as well. */
    private suspend fun submitHedged(job: AcceptedJob): SubmitAnswer = coroutineScope {
        val own = async { local.submit(job) }
        val earlyAnswer = withTimeoutOrNull(maxOf(HEDGE_AFTER_MS, HEDGE_FACTOR * health.typicalWriteMs)) { own.await() }
        when {
            earlyAnswer is SubmitAnswer.Accepted -> earlyAnswer
            earlyAnswer != null && health.isAvailable -> earlyAnswer
            earlyAnswer != null -> forward(job, earlyAnswer)
            else -> firstAccepted(own, async { forward(job, SubmitAnswer.Unknown("the own write is not answered")) })
        }
    }

    private suspend fun firstAccepted(own: Deferred<SubmitAnswer>, peerAnswer: Deferred<SubmitAnswer>): SubmitAnswer {
        val (first, other) = select {
            own.onAwait { it to peerAnswer }
            peerAnswer.onAwait { it to own }
        }
        if (first is SubmitAnswer.Accepted) {
            other.cancel()
            return first
        }
        val second = other.await()
        return if (second is SubmitAnswer.Accepted) second else SubmitAnswer.Unknown("no process could store the job")
    }

    /** Tries peers until one stores the job; [own] is the outcome of this process's attempt. */
    private suspend fun forward(job: AcceptedJob, own: SubmitAnswer): SubmitAnswer {
        var answer = own
        for (peer in randomPeers()) {
            val peerAnswer = client.call(peer, SUBMIT_CALL, job, PEER_SUBMIT_TIMEOUT_MS)
            log.event("submission_passed_on", "job" to job.jobId, "peer" to peer.processName, "outcome" to peerAnswer)
            // After an attempt with an unknown outcome, a later rejection does not prove that the job was not stored.
            answer = when {
                peerAnswer is SubmitAnswer.Accepted -> return peerAnswer
                peerAnswer is SubmitAnswer.Rejected && answer is SubmitAnswer.Rejected -> peerAnswer
                else -> SubmitAnswer.Unknown("no process could store the job for certain")
            }
        }
        return answer
    }

    suspend fun stateOf(jobId: String): StateAnswer {
        val own = if (health.isAvailable) local.stateOf(jobId) else StateAnswer.Unavailable
        if (own !is StateAnswer.Unavailable) return own
        for (peer in randomPeers()) {
            val peerAnswer = client.call(peer, STATE_CALL, JobRequest(jobId))
            if (peerAnswer != null && peerAnswer !is StateAnswer.Unavailable) return peerAnswer
        }
        return own
    }

    suspend fun cancel(jobId: String): Boolean = health.isAvailable &&
        local.cancel(jobId) ||
        randomPeers().any { client.call(it, CANCEL_CALL, JobRequest(jobId))?.isStored == true }

    suspend fun waitingJobCount(queue: String): Int? = (if (health.isAvailable) local.waitingJobCount(queue) else null)
        ?: randomPeers().firstNotNullOfOrNull { client.call(it, COUNT_CALL, CountRequest(queue))?.count }

    private fun randomPeers(): List<NodeRow> = peers().shuffled(Random).take(MAX_PEERS)
}
