/**
 * Calls to and from the leader.
 *
 * The other processes detect at once that the leader's process has died, because its connection breaks, and answer
 * queries about jobs from the leader's memory. A leader whose store calls fail hands over to another process.
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.MonotonicClock
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.leadership.KnownLeader
import dev.bronzeshore.leadership.LeaderElection
import dev.bronzeshore.leadership.handoverOrder
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Time for which the leader holds back the response to a watch call (long poll). */
internal const val WATCH_HOLD_MS = 1_200L
private const val WATCH_TIMEOUT_MS = 2_000L

/** A call that fails within this time lost its connection; an unresponsive leader is left to the election. */
private const val CONNECTION_FAILURE_MAX_MS = 1_000L

/** A connection may be reset while the leader is alive: it counts as dead only if a second attempt fails too. */
private const val SECOND_ATTEMPT_DELAY_MS = 40L
private const val SECOND_ATTEMPT_TIMEOUT_MS = 300L
private const val RETRY_MS = 200L

/** The leader answers from memory; if it takes longer it is suspended or unreachable, and the store is read. */
private const val QUERY_TIMEOUT_MS = 200L
private const val QUERY_BACKOFF_MS = 1_000L

/** Few jobs need a reservation, and they are rejected without an answer, so the leader gets more time. */
private const val RESERVE_TIMEOUT_MS = 500L

/** A takeover reads and writes the store once, which takes more than a second in a slow period. */
private const val HANDOVER_TIMEOUT_MS = 2_500L

/** A takeover takes about 30 ms; a peer whose store calls fail must not delay the request to the next one. */
private const val HANDOVER_NEXT_PEER_MS = 400L

internal class LeaderClient(
    private val own: NodeRow,
    private val election: LeaderElection,
    private val peers: () -> List<NodeRow>,
    private val client: TimedPeerClient,
    /** Has separate connections, because a call that times out closes the connection it used. */
    private val watchClient: TimedPeerClient,
    /** Called with the memory for jobs that the leader grants to this process. */
    private val onAllowance: suspend (bytes: Long) -> Unit = {},
) {
    private val log = EventLog("leadership")
    private var isHandingOver = false
    private var nextQueryAtMs = Long.MIN_VALUE

    /** Watches the connection to the leader until cancelled; takes over when the leader's port is closed. */
    suspend fun watch() {
        while (true) {
            val leader = election.knownLeader?.takeIf { it.processName != own.processName }
            if (leader == null) delay(RETRY_MS) else watchOnce(leader)
        }
    }

    private suspend fun watchOnce(leader: KnownLeader) {
        val startedAtMs = MonotonicClock()
        val reply = watchClient.call(leader.row(), WATCH_CALL, WatchRequest(WATCH_HOLD_MS), WATCH_TIMEOUT_MS)
        if (reply != null) {
            reply.allowanceBytes?.let { onAllowance(it) }
            return
        }
        if (MonotonicClock() - startedAtMs > CONNECTION_FAILURE_MAX_MS ||
            election.knownLeader?.term != leader.term
        ) {
            return delay(RETRY_MS)
        }
        delay(SECOND_ATTEMPT_DELAY_MS)
        val secondAttemptAtMs = MonotonicClock()
        if (watchClient.call(leader.row(), WATCH_CALL, WatchRequest(0), SECOND_ATTEMPT_TIMEOUT_MS) != null) return
        if (MonotonicClock() - secondAttemptAtMs < SECOND_ATTEMPT_TIMEOUT_MS &&
            election.knownLeader?.term == leader.term
        ) {
            election.takeOverFrom(leader.term, "the leader's port is closed", isOnlyCandidate = false)
        }
        delay(RETRY_MS)
    }

    /** The phase of a job as the leader knows it; null if it does not know the job or does not respond. */
    suspend fun phaseOf(jobId: String): JobPhase? {
        val leader = election.knownLeader ?: return null
        if (leader.processName == own.processName || MonotonicClock() < nextQueryAtMs) return null
        val reply = client.call(leader.row(), PHASE_CALL, JobRequest(jobId), QUERY_TIMEOUT_MS)
        if (reply == null) nextQueryAtMs = MonotonicClock() + QUERY_BACKOFF_MS
        return reply?.phase
    }

    /** Asks the leader for memory for a job; null if it does not answer or cannot tell. */
    suspend fun reserve(request: ReserveRequest): Boolean? {
        val leader = election.knownLeader ?: return null
        if (leader.processName == own.processName) return null
        return client.call(leader.row(), RESERVE_CALL, request, RESERVE_TIMEOUT_MS)?.isReserved
    }

    /** Tells the leader about a stored job, for slow periods in which the change feed would be late. */
    suspend fun announce(job: AcceptedJob) {
        val leader = election.knownLeader ?: return
        if (leader.processName != own.processName) client.call(leader.row(), ANNOUNCE_CALL, job, QUERY_TIMEOUT_MS)
    }

    /** Asks other processes to take over [term]; true if one of them leads now. Only one handover runs at a time. */
    suspend fun handOver(term: Long): Boolean {
        if (isHandingOver) {
            while (isHandingOver) delay(RETRY_MS)
            return false
        }
        isHandingOver = true
        try {
            return coroutineScope {
                val taken = CompletableDeferred<Boolean>()
                val request = launch { requestHandover(term, taken) }
                request.invokeOnCompletion { taken.complete(false) }
                taken.await().also { request.cancel() }
            }
        } finally {
            isHandingOver = false
        }
    }

    /** Asks the next peer as well if one does not respond in time; the store lets only one of them take over. */
    private suspend fun requestHandover(term: Long, taken: CompletableDeferred<Boolean>) = coroutineScope {
        for (peer in handoverOrder(peers(), Random)) {
            if (election.currentTerm?.term != term) break
            val call = launch {
                val reply = client.call(peer, HANDOVER_CALL, HandoverRequest(term), HANDOVER_TIMEOUT_MS)
                log.event("handover", "term" to term, "peer" to peer.processName, "taken" to reply?.isTaken)
                if (reply?.isTaken == true) taken.complete(true)
            }
            withTimeoutOrNull(HANDOVER_NEXT_PEER_MS) { call.join() }
        }
    }

    private fun KnownLeader.row() = NodeRow(processName, "", peerAddress)
}
