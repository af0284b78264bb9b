/**
 * Decides whether a leader may grant leases, and from when on its predecessors may not.
 *
 * A leader may grant leases while a call to the store has just shown that its term is held. In an outage of the store
 * it may go on while a majority of the processes that vote says that it knows of no later term, and a majority of the
 * workers that vote answers it: they see the outage too, and no process can take over. A leader that is cut off from
 * the store and from most of either stops granting, and its leases lapse.
 *
 * A successor asks the processes to vote for former terms no more, and a worker that has answered it refuses former
 * leaders. Any two majorities have a voter in common. So when a majority of the processes or of the workers has
 * promised that, former leaders have lost their authority, except for the time for which a vote holds. Until then the
 * successor takes no lease of a worker that it does not reach for over.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.WorkerIncarnation
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Time for which a vote, or a call to the store that showed the term, allows the leader to grant leases. */
public const val AUTHORITY_MS: Long = 2_000L

/** Time for which the answer of a worker holds as its vote; polls of idle workers take up to 1.5 s. */
private const val WORKER_VOTE_MS = 4_000L

/** An outage of the store that lasts longer ends the leader's leases, so that a successor need not wait for ever. */
private const val OUTAGE_LIMIT_MS = 35 * 60_000L

/** Clocks of two machines may differ in rate by up to this factor. */
private const val CLOCK_RATE_MARGIN = 1.03

/** Votes are asked for when two heartbeats are missing, often enough that two lost rounds do no harm. */
private const val VOTES_WANTED_AFTER_MS = 900L
private const val VOTE_PERIOD_MS = 450L

/** Period of the rounds that only tell which processes are alive. */
private const val LIVENESS_PERIOD_MS = 5_000L
private const val CHECK_PERIOD_MS = 150L
private const val REVOKE_RETRY_MS = 300L

/** Time after which a successor logs that it waits for the majority. */
private const val LATE_REVOCATION_MS = 5_000L

/** Calls to the voters; each returns null without an answer. */
public class VoterCalls(
    /** Whether the process votes for the term. */
    public val vote: suspend (NodeRow, term: Long) -> Boolean?,
    /** Asks the process to vote for terms before this one no more; true once it has promised that. */
    public val revokeBelow: suspend (NodeRow, term: Long) -> Boolean?,
)

/** What a quorum needs from its process. */
public class LeaseQuorumContext(
    public val processName: String,
    public val store: ClusterStore,
    public val heldTerms: HeldTermMonitor,
    public val voter: LeaseVoter,
    public val peers: () -> List<NodeRow>,
    public val calls: VoterCalls,
    /** Clock of the scheduler. */
    public val clock: ClockMs,
    /** Clock that includes suspensions. */
    public val elapsedClock: ClockMs,
)

/** The authority of one term; confined to the control thread. */
public class LeaseQuorum(private val context: LeaseQuorumContext, private val term: LeaderTerm) {
    private val log = EventLog("leadership")
    private val voters = VoterSet()
    private val voterStore = VoterStore(context.store, term)
    private val startedAtMs = context.clock()
    private val elapsedStartedAtMs = context.elapsedClock()
    private var votedAtMs: Long? = null
    private val answeredAtMs = HashMap<String, Long>()
    private val workerVotes = WorkerVotes()

    /** Monotonic time at which a majority of the former workers was known to answer no former leader; null before. */
    private var workersPromisedAtMs: Long? = null

    /** Monotonic time from which former leaders had no majority any more, but for what a vote holds; null before. */
    public var formerRevokedAtMs: Long? = null
        private set

    /** True while no successor can take leases for over that this leader grants now. */
    public val mayGrantLeases: Boolean
        get() {
            if (context.voter.hasRevoked(term.term)) return false
            val confirmedAtMs = context.heldTerms.shownAtMs(term.termRowVersion) ?: return false
            val now = context.elapsedClock()
            if (now - confirmedAtMs < AUTHORITY_MS) return true
            val isVoted = votedAtMs?.let { now - it < AUTHORITY_MS } ?: false
            return isVoted &&
                now - confirmedAtMs < OUTAGE_LIMIT_MS &&
                voters.isMajorityOfWorkers(workerVotes.since(now - WORKER_VOTE_MS))
        }

    /**
     * Records that [worker] has answered a request of this term which was sent at [sentAtMs] of the clock that includes
     * suspensions.
     */
    public fun recordWorkerAnswer(worker: WorkerIncarnation, sentAtMs: Long): Unit =
        workerVotes.record(worker, sentAtMs)

    /** Revokes former terms and keeps the authority of this one until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch { watchAuthority() }
        launch {
            revokeFormerTerms()
            updateVoters()
        }
        var nextRoundAtMs = context.clock()
        while (true) {
            val now = context.clock()
            if (now >= nextRoundAtMs) {
                launch { askForVotes() }
                nextRoundAtMs = now + LIVENESS_PERIOD_MS
            }
            if (isUnconfirmed || isTermNew) nextRoundAtMs = minOf(nextRoundAtMs, now + VOTE_PERIOD_MS)
            delay(CHECK_PERIOD_MS)
        }
    }

    private val isUnconfirmed: Boolean
        get() = context.heldTerms.shownAtMs(term.termRowVersion)
            ?.let { context.elapsedClock() - it > VOTES_WANTED_AFTER_MS } ?: true

    private val isTermNew: Boolean get() = context.clock() - startedAtMs < LIVENESS_PERIOD_MS

    private suspend fun askForVotes() = coroutineScope {
        val askedAtMs = context.elapsedClock()
        val granted = HashSet<String>()
        if (context.voter.votesFor(term.term)) granted += context.processName
        if (voters.isMajority(granted)) votedAtMs = askedAtMs
        for (peer in context.peers()) {
            launch {
                val hasVoted = context.calls.vote(peer, term.term) ?: return@launch
                answeredAtMs[peer.processName] = context.clock()
                if (hasVoted) granted += peer.processName
                if (voters.isMajority(granted)) votedAtMs = maxOf(votedAtMs ?: askedAtMs, askedAtMs)
            }
        }
    }

    private suspend fun revokeFormerTerms() = coroutineScope {
        val stored = firstRead().also { voters.observe(it.electorate, it.version) }
        val former = stored.electorate ?: Electorate(emptySet())
        former.processes.forEach { answeredAtMs.putIfAbsent(it, startedAtMs) }
        context.voter.revokeBelow(term.term)
        val promised = former.processes.filterTo(HashSet()) { it == context.processName }
        var isLate = false
        while (!isRevoked(stored, promised) && !isOutageOver) {
            askToRevoke(former.processes - promised) { promised += it }
            if (!isLate && context.clock() - startedAtMs > LATE_REVOCATION_MS) {
                isLate = true
                log.event(
                    "revocation_waits",
                    "term" to term.term,
                    "promised" to promised,
                    "missing" to former.processes - promised,
                    "workers_promised" to workerVotes.promisesOf(former.workers).size,
                    "workers" to former.workers.size,
                )
            }
            delay(REVOKE_RETRY_MS)
        }
        formerRevokedAtMs = context.clock()
        log.event(
            "former_terms_revoked",
            "term" to term.term,
            "promised" to promised.size,
            "of" to former.processes.size,
            "workers_promised" to workerVotes.promisesOf(former.workers).size,
            "workers" to former.workers.size,
        )
    }

    private fun isRevoked(stored: StoredVoters, promised: Set<String>): Boolean {
        if (stored.isMalformed) return false
        val former = stored.electorate ?: return true
        if (former.processes.isEmpty() || isMajorityOf(former.processes, promised)) return true
        if (!isMajorityOf(former.workers, workerVotes.promisesOf(former.workers))) return false
        val promisedAtMs = workersPromisedAtMs ?: context.clock().also { workersPromisedAtMs = it }
        // The votes of workers hold for longer than those of processes.
        return context.clock() - promisedAtMs >= WORKER_VOTE_MS - AUTHORITY_MS
    }

    private fun CoroutineScope.askToRevoke(names: Set<String>, onPromise: (String) -> Unit) {
        for (peer in context.peers().filter { it.processName in names }) {
            launch { if (context.calls.revokeBelow(peer, term.term) == true) onPromise(peer.processName) }
        }
    }

    private val isOutageOver: Boolean
        get() = context.clock() - startedAtMs > CLOCK_RATE_MARGIN * (OUTAGE_LIMIT_MS + AUTHORITY_MS)

    private suspend fun watchAuthority() {
        var wasHeld = true
        while (true) {
            val isHeld = mayGrantLeases
            if (isHeld != wasHeld) log.event(if (isHeld) "leases_resumed" else "leases_paused", "term" to term.term)
            wasHeld = isHeld
            delay(CHECK_PERIOD_MS)
        }
    }

    private suspend fun updateVoters() {
        while (true) {
            delay(VOTE_PERIOD_MS)
            // A leader that is cut off must not take the processes that it does not reach for lost.
            if (isUnconfirmed) continue
            val wanted = wantedVoters()
            // The directory of the processes may not have been read yet.
            if (wanted.processes.size == 1 && context.clock() - startedAtMs < VOTER_LOST_AFTER_MS) continue
            if (wanted != voters.stored) storeVoters(wanted)
        }
    }

    private fun wantedVoters(): Electorate {
        val now = context.clock()
        val stored = voters.stored
        return Electorate(
            selectVoters(context.processName, stored?.processes, answeredAtMs.mapValues { now - it.value }),
            selectWorkerVoters(stored?.workers.orEmpty(), workerSilenceMs(stored?.workers.orEmpty())),
        )
    }

    /** The stored workers that have not answered yet are silent since the term began, and no longer. */
    private fun workerSilenceMs(stored: Set<WorkerIncarnation>): Map<WorkerIncarnation, Long> {
        val now = context.elapsedClock()
        val unanswered = stored - workerVotes.promisesOf(stored)
        return unanswered.associateWith { now - elapsedStartedAtMs } + workerVotes.silenceMs(now)
    }

    private suspend fun storeVoters(wanted: Electorate) {
        val read = voterStore.read() ?: return
        voters.observe(read.electorate, read.version)
        voters.propose(wanted, read.version)
        val outcome = voterStore.write(wanted, read.version)
        when (outcome) {
            is StoreOutcome.Applied -> voters.observe(wanted, version = null)

            is StoreOutcome.Unknown -> Unit

            is StoreOutcome.Conflict, is StoreOutcome.NotApplied -> voters.withdraw(wanted)
        }
        log.event(
            "voters",
            "term" to term.term,
            "outcome" to outcome::class.simpleName,
            "names" to wanted.processes.sorted(),
            "workers" to wanted.workers.size,
        )
    }

    private suspend fun firstRead(): StoredVoters {
        while (true) {
            voterStore.read()?.let { return it }
            delay(CHECK_PERIOD_MS)
        }
    }
}
