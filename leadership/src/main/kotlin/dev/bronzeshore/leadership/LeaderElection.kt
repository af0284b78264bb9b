/**
 * Leader election: tracks the leader of the cluster, takes over when it is lost, and renews the term of this process.
 *
 * A takeover writes the term row on condition that neither the term row nor the heartbeat row has changed, so that at
 * most one process wins. All later writes of a leader are conditional on the version of its term row, so that a former
 * leader cannot change anything. A leader that gets no response from the store keeps its term: in an outage for all, no
 * process can take over. What it may still do then is decided by [LeaseQuorum].
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

/** Period of the leader's heartbeats: a third of the timeout after which it counts as lost. */
internal const val HEARTBEAT_PERIOD_MS = 450L

/** Longest wait for a change feed; the loss of a silent connection is detected this much later. */
private const val CHANGE_FEED_WAIT_MS = 1_000L
private const val RETRY_DELAY_MS = 150L

/** Random delay of candidates, so that most of them see that another one has won. */
private const val TAKEOVER_JITTER_MS = 40L

/** Called when this process gains or loses leadership, or cannot renew its term. */
public class LeadershipCallbacks(
    public val onGained: suspend (LeaderTerm) -> Unit,
    public val onLost: suspend (LeaderTerm) -> Unit,
    /** The store did not confirm a renewal; it may be available to another process, which could lead instead. */
    public val onRenewalFailed: suspend (LeaderTerm) -> Unit,
)

/** Runs on the control thread. [candidateDelayMs] is how long this process leaves a takeover to stronger ones. */
public class LeaderElection(
    private val store: ClusterStore,
    private val own: NodeRow,
    private val clock: ClockMs,
    private val candidateDelayMs: () -> Long,
    private val callbacks: LeadershipCallbacks,
) {
    private val log = EventLog("leadership")
    private val tracker = LeaderTracker(own.processName, own.bootId, clock)
    private var heldTerm: LeaderTerm? = null
    private var heartbeatNumber = 0L
    private var heartbeatSentAtMs = Long.MIN_VALUE / 2
    private var isWithdrawn = false
    private var lastEndedTerm = 0L

    /** The term held by this process, or null. */
    public val currentTerm: LeaderTerm? get() = heldTerm

    /** Monotonic time at which the last confirmed renewal was sent. */
    public var renewedAtMs: Long = 0
        private set

    /** The last leader that this process observed, which may have changed since; null before the first one. */
    public val knownLeader: KnownLeader?
        get() = tracker.term?.let { KnownLeader(it.term, it.processName, it.peerAddress) }

    /**
     * The heartbeat to write along with other rows of the leader, or null if none is due. It stays due until
     * [recordRenewal], as these rows may be refused.
     */
    public fun dueHeartbeat(): RowWrite? {
        val term = heldTerm ?: return null
        if (clock() - heartbeatSentAtMs < HEARTBEAT_PERIOD_MS) return null
        return heartbeatWrite(term, isReleased = false)
    }

    /** Records that a heartbeat was stored by a call sent at [sentAtMs]. */
    public fun recordRenewal(sentAtMs: Long) {
        heartbeatSentAtMs = maxOf(heartbeatSentAtMs, sentAtMs)
        renewedAtMs = maxOf(renewedAtMs, sentAtMs)
    }

    /**
     * Takes over before the leader times out, because it is known to be dead or has asked for a handover.
     *
     * Returns true if this process leads a term newer than [term] afterwards.
     */
    public suspend fun takeOverFrom(term: Long, reason: String, isOnlyCandidate: Boolean): Boolean {
        if (heldTerm != null || isWithdrawn) return leadsNewerThan(term)
        log.event("takeover_wanted", "term" to term, "reason" to reason)
        if (!isOnlyCandidate) delay(takeoverDelayMs())
        takeOver { tracker.term?.term == term }
        return leadsNewerThan(term)
    }

    /** A process that was partitioned may still hold a term older than [term], which does not count as a takeover. */
    private fun leadsNewerThan(term: Long): Boolean = heldTerm?.let { it.term > term } ?: false

    /** Tracks the leader, takes over and renews until cancelled. */
    public suspend fun run() {
        while (!readLeaderRows()) delay(RETRY_DELAY_MS)
        while (true) {
            if (heldTerm == null) followLeader() else renew()
        }
    }

    /** Prevents further takeovers by this process, which is about to stop. */
    public fun withdraw() {
        isWithdrawn = true
    }

    /** Gives up [term], if it is held, so that another process can take over without waiting for the timeout. */
    public suspend fun release(term: LeaderTerm? = heldTerm) {
        if (term == null || heldTerm != term) return
        val outcome = store.transact(heartbeatTransaction(term, isReleased = true))
        log.event("released", "term" to term.term, "outcome" to outcome)
        stepDown(term)
    }

    private var feedVersion = 0L

    private suspend fun readLeaderRows(): Boolean {
        val page = store.readPage(RowRangeQuery(Tables.LEADER, Tables.LEADER_PARTITION)).getOrNull() ?: return false
        tracker.observe(page.rows)
        tracker.onStoreResponse()
        feedVersion = page.version
        return true
    }

    private suspend fun followLeader() {
        startObservedTerm()
        if (heldTerm != null) return
        if (tracker.canTakeOver() && !isWithdrawn) {
            delay(takeoverDelayMs())
            return takeOver { tracker.canTakeOver() }
        }
        store.changes(Tables.LEADER, feedVersion, tracker.timeToTimeoutMs(CHANGE_FEED_WAIT_MS)).fold(
            ifLeft = { failure ->
                tracker.onStoreFailure()
                if (failure is ReadFailure.HistoryGone) readLeaderRows()
                delay(RETRY_DELAY_MS)
            },
            ifRight = { page ->
                tracker.observe(page.rows)
                tracker.onStoreResponse()
                feedVersion = maxOf(feedVersion, page.version)
            },
        )
    }

    private val isCandidate: Boolean get() = heldTerm == null && !isWithdrawn

    private fun takeoverDelayMs() = candidateDelayMs() + Random.nextLong(TAKEOVER_JITTER_MS)

    private suspend fun takeOver(isStillNeeded: () -> Boolean) {
        if (!isCandidate) return
        // The leader cannot renew its term either while its partition of the store does not respond.
        if (!readLeaderRows()) return tracker.onStoreFailure()
        if (!isCandidate || !isStillNeeded()) return
        val term = TermRow((tracker.term?.term ?: 0) + 1, own.processName, own.bootId, own.peerAddress)
        val outcome = store.transact(
            StoreTransaction(
                conditions = listOf(
                    RowCondition(Tables.TERM_ROW, tracker.termVersion),
                    RowCondition(Tables.HEARTBEAT_ROW, tracker.heartbeatVersion),
                ),
                writes = listOf(
                    RowWrite(Tables.TERM_ROW, encodeRow(TermRow.serializer(), term)),
                    RowWrite(Tables.HEARTBEAT_ROW, encodeRow(HeartbeatRow.serializer(), HeartbeatRow(term.term, 0))),
                ),
            ),
        )
        log.event(
            "takeover",
            "term" to term.term,
            "outcome" to outcome::class.simpleName,
            "former" to tracker.term?.bootId,
        )
        when (outcome) {
            // The answer does not tell the version of the term row. If the transaction takes effect later, or the read
            // fails, the change feed delivers the row.
            is StoreOutcome.Applied, is StoreOutcome.Unknown -> if (readLeaderRows()) startObservedTerm()
            else -> delay(RETRY_DELAY_MS)
        }
    }

    /** Starts the term, once, if the term row names this process. */
    private suspend fun startObservedTerm() {
        val term = tracker.term ?: return
        if (isCandidate && term.bootId == own.bootId && term.term > lastEndedTerm) {
            startTerm(LeaderTerm(term.term, tracker.termVersion))
        }
    }

    private suspend fun startTerm(term: LeaderTerm) {
        if (heldTerm == term) return
        heldTerm = term
        heartbeatNumber = 0
        renewedAtMs = clock()
        log.event("gained", "term" to term.term, "version" to term.termRowVersion)
        callbacks.onGained(term)
    }

    private suspend fun renew() {
        delay(HEARTBEAT_PERIOD_MS / 2)
        if (clock() - heartbeatSentAtMs >= HEARTBEAT_PERIOD_MS) sendHeartbeat()
    }

    private suspend fun sendHeartbeat() {
        val term = heldTerm ?: return
        val sentAtMs = clock()
        heartbeatSentAtMs = sentAtMs
        when (val outcome = store.transact(heartbeatTransaction(term, isReleased = false))) {
            is StoreOutcome.Applied -> recordRenewal(sentAtMs)

            is StoreOutcome.Conflict -> stepDown(term)

            else -> {
                log.event("renewal_failed", "term" to term.term, "outcome" to outcome)
                callbacks.onRenewalFailed(term)
            }
        }
    }

    private fun heartbeatTransaction(term: LeaderTerm, isReleased: Boolean): StoreTransaction = StoreTransaction(
        conditions = listOf(RowCondition(Tables.TERM_ROW, term.termRowVersion)),
        writes = listOf(heartbeatWrite(term, isReleased)),
    )

    private fun heartbeatWrite(term: LeaderTerm, isReleased: Boolean): RowWrite {
        val row = HeartbeatRow(term.term, ++heartbeatNumber, isReleased)
        return RowWrite(Tables.HEARTBEAT_ROW, encodeRow(HeartbeatRow.serializer(), row))
    }

    /** Ends [term]; also called when a worker's fencing token or another process has shown a newer term. */
    public suspend fun stepDown(term: LeaderTerm) {
        if (heldTerm != term) return
        heldTerm = null
        lastEndedTerm = maxOf(lastEndedTerm, term.term)
        log.event("lost", "term" to term.term)
        callbacks.onLost(term)
        while (!readLeaderRows()) delay(RETRY_DELAY_MS)
    }
}
