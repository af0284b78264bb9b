/** Connects the leases of leaders to the votes of the processes, on either side of the calls. */
package dev.bronzeshore.server.cluster

import arrow.core.right
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.leadership.HeldTermMonitor
import dev.bronzeshore.leadership.LeaderElection
import dev.bronzeshore.leadership.LeaderTerm
import dev.bronzeshore.leadership.LeaseQuorum
import dev.bronzeshore.leadership.LeaseQuorumContext
import dev.bronzeshore.leadership.LeaseVoter
import dev.bronzeshore.leadership.VoterCalls
import dev.bronzeshore.peering.CallHandler
import dev.bronzeshore.peering.handlerOf
import dev.bronzeshore.scheduler.TermAuthority
import dev.bronzeshore.scheduler.WorkerAnswers
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/** Processes answer from memory; a vote that comes later is of little use. */
private const val VOTER_TIMEOUT_MS = 1_000L

/** A vote that is given late does no harm, so wall clocks may differ by any time. */
internal const val VOTE_CLOCK_SKEW_ALLOWANCE_MS = 86_400_000L

/** The clocks by which a leader judges its authority. */
internal class AuthorityClocks(val monotonic: ClockMs, val elapsed: ClockMs)

internal class LeaseVoting(
    private val processName: String,
    private val store: ClusterStore,
    private val heldTerms: HeldTermMonitor,
    private val clocks: AuthorityClocks,
    private val election: () -> LeaderElection,
    private val peers: () -> List<NodeRow>,
    /** Has connections of its own, because a call that times out closes the connection it used. */
    private val client: TimedPeerClient,
) {
    private val voter = LeaseVoter { election().knownLeader?.term }
    private val calls = VoterCalls(
        vote = { peer, term -> client.call(peer, VOTE_CALL, requestTo(peer, term), VOTER_TIMEOUT_MS)?.hasVoted },
        revokeBelow = { peer, term ->
            client.call(peer, REVOKE_CALL, requestTo(peer, term), VOTER_TIMEOUT_MS)?.hasPromised
        },
    )

    /** The authority of a term that this process has gained. */
    fun authorityOf(term: LeaderTerm): TermAuthority {
        val context = LeaseQuorumContext(
            processName,
            store,
            heldTerms,
            voter,
            peers,
            calls,
            clocks.monotonic,
            clocks.elapsed,
        )
        val quorum = LeaseQuorum(context, term)
        return TermAuthority(
            { quorum.mayGrantLeases },
            { quorum.formerRevokedAtMs },
            quorum::run,
            WorkerAnswers(clocks.elapsed, quorum::recordWorkerAnswer),
        )
    }

    /** Handlers of the calls of leaders; [control] is the control thread of this process. */
    fun handlers(control: CoroutineDispatcher, scope: CoroutineScope): List<CallHandler> = listOf(
        handlerOf(VOTE_CALL) { request ->
            val hasVoted = request.voter == processName && withContext(control) { voter.votesFor(request.term) }
            VoteReply(hasVoted).right()
        },
        handlerOf(REVOKE_CALL) { request ->
            withContext(control) { voter.revokeBelow(request.term) }
            scope.launch(control) { endTermBefore(request.term) }
            RevokeReply(hasPromised = request.voter == processName).right()
        },
    )

    private fun requestTo(peer: NodeRow, term: Long) = TermRequest(term, peer.processName)

    /** Without its own vote the leader grants no leases from the promise on; here its other work ends too. */
    private suspend fun endTermBefore(term: Long) {
        election().currentTerm?.takeIf { it.term < term }?.let { election().stepDown(it) }
    }
}
