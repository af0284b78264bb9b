/**
 * Follows who leads the cluster, takes over when the leader is lost, and renews the own term.
 *
 * A takeover writes the term row under the condition that neither term nor sign of life has changed, so that at most
 * one process wins. All later writes of a leader require the version of its term row: a former leader changes nothing.
 * A leader that the store does not answer keeps its term, because no other process can take over through that store
 * without raising the fence at the workers first.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Period of the leader's sign of life; a third of the time after which it counts as lost. */
internal const val BEAT_EVERY_MS = 450L

/** Longest wait of a change feed; a connection that has fallen silent is noticed this much later. */
private const val FEED_WAIT_MS = 1_000L
private const val RETRY_MS = 150L

/** Candidates spread over this time, so that most of them see that another one has won. */
private const val CANDIDATE_SPREAD_MS = 40L

/** What happens when leadership passes. */
public class LeadershipCallbacks(
    public val onGained: suspend (LeaderTerm) -> Unit,
    public val onLost: suspend (LeaderTerm) -> Unit,
    /** The store did not take a renewal; another process may be served and could lead instead. */
    public val onRenewalFailed: suspend (LeaderTerm) -> Unit,
)

/** Runs on the control thread. [candidateDelayMs] is the time for which a takeover is left to stronger processes. */
public class LeaderElection(
    private val store: ClusterStore,
    private val own: NodeRow,
    private val clock: ClockMs,
    private val candidateDelayMs: () -> Long,
    private val events: LeadershipCallbacks,
) {
    private val log = EventLog("leadership")
    private val view = LeaderTracker(own.processName, own.bootId, clock)
    private var held: LeaderTerm? = null
    private var beatNumber = 0L
    private var beatSentAtMs = Long.MIN_VALUE / 2
    private var isStopping = false
    private var lastEndedTerm = 0L

    /** The term held by this process, or null. */
    public val currentTerm: LeaderTerm? get() = held

    /** Time of the steady clock of the last confirmed renewal. */
    public var renewedAtMs: Long = 0
        private set

    /** The leader that this process knows of, which may have changed since; null before the first one. */
    public val knownLeader: KnownLeader?
        get() = view.term?.let { KnownLeader(it.term, it.processName, it.peerAddress) }

    /** The sign of life to write along with other rows of the leader, or null when it is not due. */
    public fun dueHeartbeat(): RowWrite? {
        val term = held ?: return null
        if (clock() - beatSentAtMs < BEAT_EVERY_MS) return null
        beatSentAtMs = clock()
        return beatWrite(term, isReleased = false)
    }

    /** A sign of life was stored by a call that was sent at [sentAtMs]. */
    public fun recordRenewal(sentAtMs: Long) {
        renewedAtMs = maxOf(renewedAtMs, sentAtMs)
    }

    /**
     * Takes over although the leader has not fallen silent: it is known to be dead, or it has asked for it.
     *
     * Returns true if this process leads a newer term afterwards.
     */
    public suspend fun takeOverFrom(term: Long, reason: String, isOnlyCandidate: Boolean): Boolean {
        if (held != null || isStopping) return leadsAfter(term)
        log.event("takeover_wanted", "term" to term, "reason" to reason)
        if (!isOnlyCandidate) delay(spreadMs())
        takeOver { view.term?.term == term }
        return leadsAfter(term)
    }

    /** A process that was cut off may still hold a term before [term], which is no takeover. */
    private fun leadsAfter(term: Long): Boolean = held?.let { it.term > term } ?: false

    /** Follows the leader until cancelled. */
    public suspend fun run() {
        while (!readAll()) delay(RETRY_MS)
        while (true) {
            if (held == null) follow() else renew()
        }
    }

    /** From now on this process does not take over. */
    public fun withdraw() {
        isStopping = true
    }

    /** Gives up the term so that another process takes over at once. */
    public suspend fun release() {
        val term = held ?: return
        val outcome = store.transact(beatTransaction(term, isReleased = true))
        log.event("released", "term" to term.term, "outcome" to outcome)
        stepDown(term)
    }

    private var feedVersion = 0L

    private suspend fun readAll(): Boolean {
        val page = store.readPage(RowRangeQuery(Tables.LEADER, Tables.LEADER_PART)).getOrNull() ?: return false
        view.observe(page.rows)
        view.storeAnswered()
        feedVersion = page.version
        return true
    }

    private suspend fun follow() {
        leadUnansweredTakeover()
        if (held != null) return
        if (view.mayTakeOver() && !isStopping) {
            delay(spreadMs())
            return takeOver { view.mayTakeOver() }
        }
        store.changes(Tables.LEADER, feedVersion, view.silenceLeftMs(FEED_WAIT_MS)).fold(
            ifLeft = { failure ->
                view.storeFailed()
                if (failure is ReadFailure.HistoryGone) readAll()
                delay(RETRY_MS)
            },
            ifRight = { page ->
                view.observe(page.rows)
                view.storeAnswered()
                feedVersion = maxOf(feedVersion, page.version)
            },
        )
    }

    private val isCandidate: Boolean get() = held == null && !isStopping

    private fun spreadMs() = candidateDelayMs() + Random.nextLong(CANDIDATE_SPREAD_MS)

    private suspend fun takeOver(isWanted: () -> Boolean) {
        if (!isCandidate || !readAll()) return
        if (!isCandidate || !isWanted()) return
        val term = TermRow((view.term?.term ?: 0) + 1, own.processName, own.bootId, own.peerAddress)
        val outcome = store.transact(
            StoreTransaction(
                conditions = listOf(
                    RowCondition(Tables.TERM_ROW, view.termVersion),
                    RowCondition(Tables.BEAT_ROW, view.beatVersion),
                ),
                writes = listOf(
                    RowWrite(Tables.TERM_ROW, encodeRow(TermRow.serializer(), term)),
                    RowWrite(Tables.BEAT_ROW, encodeRow(BeatRow.serializer(), BeatRow(term.term, 0))),
                ),
            ),
        )
        log.event(
            "takeover",
            "term" to term.term,
            "outcome" to outcome::class.simpleName,
            "former" to view.term?.bootId,
        )
        when (outcome) {
            is StoreOutcome.Applied -> lead(LeaderTerm(term.term, outcome.version))
            // If the transaction takes effect later, the term row shows it.
            is StoreOutcome.Unknown -> if (readAll()) leadUnansweredTakeover()
            else -> delay(RETRY_MS)
        }
    }

    /** The term row may name this process although the takeover got no answer. */
    private suspend fun leadUnansweredTakeover() {
        val term = view.term ?: return
        if (isCandidate && term.bootId == own.bootId && term.term > lastEndedTerm) {
            lead(LeaderTerm(term.term, view.termVersion))
        }
    }

    private suspend fun lead(term: LeaderTerm) {
        if (held == term) return
        held = term
        beatNumber = 0
        renewedAtMs = clock()
        log.event("gained", "term" to term.term, "version" to term.termRowVersion)
        events.onGained(term)
    }

    private suspend fun renew() {
        delay(BEAT_EVERY_MS / 2)
        if (clock() - beatSentAtMs >= BEAT_EVERY_MS) beat()
    }

    private suspend fun beat() {
        val term = held ?: return
        val sentAtMs = clock()
        beatSentAtMs = sentAtMs
        when (val outcome = store.transact(beatTransaction(term, isReleased = false))) {
            is StoreOutcome.Applied -> recordRenewal(sentAtMs)

            is StoreOutcome.Conflict -> stepDown(term)

            else -> {
                log.event("renewal_failed", "term" to term.term, "outcome" to outcome)
                events.onRenewalFailed(term)
            }
        }
    }

    private fun beatTransaction(term: LeaderTerm, isReleased: Boolean): StoreTransaction = StoreTransaction(
        conditions = listOf(RowCondition(Tables.TERM_ROW, term.termRowVersion)),
        writes = listOf(beatWrite(term, isReleased)),
    )

    private fun beatWrite(term: LeaderTerm, isReleased: Boolean): RowWrite {
        val row = BeatRow(term.term, ++beatNumber, isReleased)
        return RowWrite(Tables.BEAT_ROW, encodeRow(BeatRow.serializer(), row))
    }

    /** Ends the own term; called as well when a worker's fence or another process has shown a newer one. */
    public suspend fun stepDown(term: LeaderTerm) {
        if (held != term) return
        held = null
        lastEndedTerm = maxOf(lastEndedTerm, term.term)
        log.event("lost", "term" to term.term)
        events.onLost(term)
        while (!readAll()) delay(RETRY_MS)
    }
}
