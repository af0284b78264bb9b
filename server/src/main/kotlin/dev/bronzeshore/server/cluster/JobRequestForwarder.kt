/**
 * Passes callers' requests to another process while the store does not serve this one.
 *
 * The store may turn away single machines and serve the others, and a connection may fall silent. The same job may be
 * stored through two processes: its row is written once.
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDesk
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Other processes that are asked for one request; the second covers a first one that is down. */
private const val MAX_PEERS = 2

/** The store answers in 10 ms; after this time the own connection to it may have fallen silent. */
private const val HEDGE_AFTER_MS = 450L

/** In a slow spell a second write would only add to the load. */
private const val HEDGE_FACTOR = 3

/** Longest time that one process is given to store a job for another one. */
private const val PEER_SUBMIT_TIMEOUT_MS = 1_300L

/** Time after which a caller that was refused may come back: most spells in which the store is lost last seconds. */
private const val STORE_RETRY_MS = 1_000L

internal class JobRequestForwarder(
    private val local: JobDesk,
    private val health: StoreHealth,
    private val peers: () -> List<NodeRow>,
    private val calls: TimedPeerClient,
) {
    private val log = EventLog("intake")

    /** Stores a job that another process passes on, which is refused at once if the store serves neither of them. */
    suspend fun submitHere(job: AcceptedJob): SubmitAnswer = if (health.isServed) local.submit(job) else notServed()

    suspend fun submit(job: AcceptedJob): SubmitAnswer = if (health.isServed) hedged(job) else passOn(job, notServed())

    private fun notServed() = SubmitAnswer.Rejected("the store does not serve this process", STORE_RETRY_MS, false)

    /** Waits for the own write for a moment, then lets another process write the same row as well. */
    private suspend fun hedged(job: AcceptedJob): SubmitAnswer = coroutineScope {
        val own = async { local.submit(job) }
        val early = withTimeoutOrNull(maxOf(HEDGE_AFTER_MS, HEDGE_FACTOR * health.typicalWriteMs)) { own.await() }
        when {
            early is SubmitAnswer.Accepted -> early
            early != null && health.isServed -> early
            early != null -> passOn(job, early)
            else -> firstAccepted(own, async { passOn(job, SubmitAnswer.Unknown("the own write is not answered")) })
        }
    }

    private suspend fun firstAccepted(own: Deferred<SubmitAnswer>, theirs: Deferred<SubmitAnswer>): SubmitAnswer {
        val (first, other) = select {
            own.onAwait { it to theirs }
            theirs.onAwait { it to own }
        }
        if (first is SubmitAnswer.Accepted) {
            other.cancel()
            return first
        }
        val second = other.await()
        return if (second is SubmitAnswer.Accepted) second else SubmitAnswer.Unknown("no process could store the job")
    }

    /** [own] is how the own attempt ended; another process is asked unless the job is stored. */
    private suspend fun passOn(job: AcceptedJob, own: SubmitAnswer): SubmitAnswer {
        var answer = own
        for (peer in somePeers()) {
            val theirs = calls.call(peer, SUBMIT_CALL, job, PEER_SUBMIT_TIMEOUT_MS)
            log.event("submission_passed_on", "job" to job.jobId, "peer" to peer.processName, "outcome" to theirs)
            // Once an attempt has an unknown outcome, a later refusal no longer shows that the job was not stored.
            answer = when {
                theirs is SubmitAnswer.Accepted -> return theirs
                theirs is SubmitAnswer.Rejected && answer is SubmitAnswer.Rejected -> theirs
                else -> SubmitAnswer.Unknown("no process could store the job for certain")
            }
        }
        return answer
    }

    suspend fun stateOf(jobId: String): StateAnswer {
        val own = if (health.isServed) local.stateOf(jobId) else StateAnswer.Unavailable
        if (own !is StateAnswer.Unavailable) return own
        for (peer in somePeers()) {
            val theirs = calls.call(peer, STATE_CALL, JobRequest(jobId))
            if (theirs != null && theirs !is StateAnswer.Unavailable) return theirs
        }
        return own
    }

    suspend fun cancel(jobId: String): Boolean = health.isServed &&
        local.cancel(jobId) ||
        somePeers().any { calls.call(it, CANCEL_CALL, JobRequest(jobId))?.isStored == true }

    suspend fun waitingIn(queue: String): Int? = (if (health.isServed) local.waitingIn(queue) else null)
        ?: somePeers().firstNotNullOfOrNull { calls.call(it, COUNT_CALL, CountRequest(queue))?.count }

    private fun somePeers(): List<NodeRow> = peers().shuffled(Random).take(MAX_PEERS)
}
