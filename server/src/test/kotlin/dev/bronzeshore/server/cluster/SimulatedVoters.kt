/** Processes of a simulation that vote on the leases of its leaders, over calls that can be cut. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.leadership.HeldTermMonitor
import dev.bronzeshore.leadership.LeaderTerm
import dev.bronzeshore.leadership.LeaseQuorum
import dev.bronzeshore.leadership.LeaseQuorumContext
import dev.bronzeshore.leadership.LeaseVoter
import dev.bronzeshore.leadership.VoterCalls
import dev.bronzeshore.scheduler.TermAuthority
import dev.bronzeshore.scheduler.WorkerAnswers
import dev.bronzeshore.standins.cluster.StoreStandIn
import kotlinx.coroutines.delay

private const val CALL_MS = 2L
private const val CALL_TIMEOUT_MS = 1_000L
private val VOTER_NAMES = listOf("voter-1", "voter-2", "voter-3")

internal class SimulatedVoters(private val store: StoreStandIn, private val clock: ClockMs) {
    /** Processes that reach each other, and none of the others. */
    val cutOff: MutableSet<String> = HashSet()

    /** Processes that answer nobody any more. */
    private val lost = HashSet<String>()
    val names: List<String> get() = VOTER_NAMES
    private val members = HashMap<String, Member>()
    private val termOfVersion = HashMap<Long, Long>()

    init {
        VOTER_NAMES.forEach { memberFor(it, clock, clock) }
    }

    /** A process that votes, and leads if it has gained a term. */
    inner class Member(private val name: String, private val monotonic: ClockMs, private val elapsed: ClockMs) {
        private val heldTerms = HeldTermMonitor(elapsed)
        val store: ClusterStore = heldTerms.monitor(this@SimulatedVoters.store.clientFor(name))
        private var observedVersion: Long? = null
        var voter = LeaseVoter { observedTerm() }
            private set

        /** Loses what is in memory. */
        fun restart() {
            observedVersion = null
            voter = LeaseVoter { observedTerm() }
        }

        /** Notes the term that the store shows to this process now. */
        fun observe() {
            val faults = this@SimulatedVoters.store.faults
            if (!faults.isDown && name !in faults.refusedCallers) observedVersion = storedVersion()
        }

        private fun observedTerm(): Long? {
            observe()
            return observedVersion?.let { termOfVersion[it] }
        }

        fun authorityOf(term: LeaderTerm): TermAuthority {
            termOfVersion[term.termRowVersion] = term.term
            val context = LeaseQuorumContext(name, store, heldTerms, voter, ::peers, calls(), monotonic, elapsed)
            val quorum = LeaseQuorum(context, term)
            return TermAuthority(
                { quorum.mayGrantLeases },
                { quorum.formerRevokedAtMs },
                quorum::run,
                WorkerAnswers(elapsed, quorum::recordWorkerAnswer),
            )
        }

        private fun peers() = (VOTER_NAMES - name).map { NodeRow(it, it, "$it:1") }

        private fun calls() = VoterCalls(
            vote = { peer, term -> call(peer)?.votesFor(term) },
            revokeBelow = { peer, term -> call(peer)?.revokeBelow(term)?.let { true } },
        )

        private suspend fun call(peer: NodeRow): LeaseVoter? {
            if (peer.processName in lost || (name in cutOff) != (peer.processName in cutOff)) {
                delay(CALL_TIMEOUT_MS)
                return null
            }
            delay(CALL_MS)
            return members.getValue(peer.processName).voter
        }
    }

    fun memberFor(name: String, monotonic: ClockMs, elapsed: ClockMs): Member =
        members.getOrPut(name) { Member(name, monotonic, elapsed) }

    /** Lets a leader read its term in the store, as each of its heartbeats does. */
    suspend fun confirmTermOf(name: String) {
        members[name]?.store?.readPage(RowRangeQuery(Tables.LEADER, Tables.LEADER_PARTITION))
    }

    /** The first [count] voters are lost for good. */
    fun lose(count: Int) {
        lost += VOTER_NAMES.take(count)
    }

    fun restart(name: String) = members.getValue(name).restart()

    fun restartAll() = VOTER_NAMES.forEach { restart(it) }

    /** The store turns away all processes that do not lead. */
    fun blindToStore() {
        members.values.forEach { it.observe() }
        store.faults.refusedCallers += VOTER_NAMES
    }

    private fun storedVersion() = store.rowsOf(Tables.LEADER).firstOrNull { it.id == Tables.TERM_ROW }?.version
}
