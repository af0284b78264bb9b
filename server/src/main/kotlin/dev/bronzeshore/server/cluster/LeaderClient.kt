/**
 * Calls between the leader and the other processes.
 *
 * The others learn at once when the leader's process dies, because its connection breaks, and answer callers from what
 * the leader knows. A leader that the store turns away asks another process to lead.
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.SteadyClock
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

/** Time for which the leader holds the answer of a watch. */
internal const val WATCH_HOLD_MS = 1_200L
private const val WATCH_TIMEOUT_MS = 2_000L

/** A call that fails sooner than this broke with its connection; a silent leader is left to the election. */
private const val BROKEN_WITHIN_MS = 1_000L

/** A connection may be reset while the leader lives: it counts as dead if it cannot be reached again either. */
private const val SECOND_TRY_PAUSE_MS = 40L
private const val SECOND_TRY_TIMEOUT_MS = 300L
private const val RETRY_MS = 200L

/** A leader answers from memory; a slower one is stopped or cut off, and the store is asked instead. */
private const val STATE_TIMEOUT_MS = 200L
private const val LEADER_PAUSE_MS = 1_000L

/** A takeover reads and writes the store once, which takes more than a second in a slow spell. */
private const val HANDOVER_TIMEOUT_MS = 2_500L

/** A process that the store serves takes over in about 30 ms; one that it turns away must not hold up the next one. */
private const val HANDOVER_NEXT_MS = 400L

internal class LeaderClient(
    private val own: NodeRow,
    private val election: LeaderElection,
    private val peers: () -> List<NodeRow>,
    private val calls: TimedPeerClient,
    /** Has connections of its own: another call that is answered late ends the connection that it used. */
    private val watchCalls: TimedPeerClient,
) {
    private val log = EventLog("leadership")
    private var isHandingOver = false
    private var askAgainAtMs = Long.MIN_VALUE

    /** Watches the leader's connection until cancelled. */
    suspend fun watch() {
        while (true) {
            val leader = election.knownLeader?.takeIf { it.processName != own.processName }
            if (leader == null) delay(RETRY_MS) else watchOnce(leader)
        }
    }

    private suspend fun watchOnce(leader: KnownLeader) {
        val startedAtMs = SteadyClock()
        if (watchCalls.call(leader.node(), WATCH_CALL, WatchRequest(WATCH_HOLD_MS), WATCH_TIMEOUT_MS) != null) return
        if (SteadyClock() - startedAtMs > BROKEN_WITHIN_MS ||
            election.knownLeader?.term != leader.term
        ) {
            return delay(RETRY_MS)
        }
        delay(SECOND_TRY_PAUSE_MS)
        val secondAtMs = SteadyClock()
        if (watchCalls.call(leader.node(), WATCH_CALL, WatchRequest(0), SECOND_TRY_TIMEOUT_MS) != null) return
        if (SteadyClock() - secondAtMs < SECOND_TRY_TIMEOUT_MS && election.knownLeader?.term == leader.term) {
            election.takeOverFrom(leader.term, "the leader's port is closed", isOnlyCandidate = false)
        }
        delay(RETRY_MS)
    }

    /** What the leader knows of a job; null when it knows nothing or does not answer. */
    suspend fun phaseOf(jobId: String): JobPhase? {
        val leader = election.knownLeader ?: return null
        if (leader.processName == own.processName || SteadyClock() < askAgainAtMs) return null
        val reply = calls.call(leader.node(), PHASE_CALL, JobRequest(jobId), STATE_TIMEOUT_MS)
        if (reply == null) askAgainAtMs = SteadyClock() + LEADER_PAUSE_MS
        return reply?.phase
    }

    /** Tells the leader of a job that was stored, in a slow spell in which the change feed would be late. */
    suspend fun announce(job: AcceptedJob) {
        val leader = election.knownLeader ?: return
        if (leader.processName != own.processName) calls.call(leader.node(), ANNOUNCE_CALL, job, STATE_TIMEOUT_MS)
    }

    /** Asks other processes to lead, because the store does not serve this one; true if one of them leads now. */
    suspend fun handOver(term: Long): Boolean {
        if (isHandingOver) {
            while (isHandingOver) delay(RETRY_MS)
            return false
        }
        isHandingOver = true
        try {
            return coroutineScope {
                val taken = CompletableDeferred<Boolean>()
                val asking = launch { askInTurn(term, taken) }
                asking.invokeOnCompletion { taken.complete(false) }
                taken.await().also { asking.cancel() }
            }
        } finally {
            isHandingOver = false
        }
    }

    /** Asks the next process as well when one does not answer soon; the store lets only one of them take over. */
    private suspend fun askInTurn(term: Long, taken: CompletableDeferred<Boolean>) = coroutineScope {
        for (peer in handoverOrder(peers(), Random)) {
            if (election.currentTerm?.term != term) break
            val call = launch {
                val reply = calls.call(peer, HANDOVER_CALL, HandoverRequest(term), HANDOVER_TIMEOUT_MS)
                log.event("handover", "term" to term, "peer" to peer.processName, "taken" to reply?.isTaken)
                if (reply?.isTaken == true) taken.complete(true)
            }
            withTimeoutOrNull(HANDOVER_NEXT_MS) { call.join() }
        }
    }

    private fun KnownLeader.node() = NodeRow(processName, "", peerAddress)
}
