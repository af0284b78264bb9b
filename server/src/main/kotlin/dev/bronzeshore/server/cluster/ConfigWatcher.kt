/** Keeps the operators' configuration up to date; its version never decreases. */
package dev.bronzeshore.server.cluster

import arrow.core.Either
import dev.bronzeshore.accounts.ConfigProof
import dev.bronzeshore.accounts.ProofTime
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterConfig
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.platform.cluster.PlatformClient
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

/** Longest wait of a change feed call; a connection that no longer delivers data is detected this much later. */
private const val CHANGE_FEED_WAIT_MS = 800L
private const val RETRY_MS = 100L

/** A feed response later than this means a slow store or a dead connection; a response takes about 10 ms. */
private const val OVERDUE_MARGIN_MS = 250L

internal class ConfigWatcher(
    private val store: ClusterStore,
    private val clock: ClockMs,
    private val proof: ConfigProof,
    private val peers: () -> List<NodeRow>,
    /** Asks a peer for its configuration if it is newer than the given version; null if the peer does not respond. */
    private val fetchFromPeer: suspend (NodeRow, version: Long) -> ConfigReply?,
) {
    private val log = EventLog("config")
    private var content: ByteArray? = null
    private var feedVersion = 0L

    /** A configuration arrived that could not be decoded, and no newer one since. */
    private var isNewestMalformed = false

    /** Monotonic time of the store's last response; far in the past before the first one. */
    private var lastStoreAnswerAtMs = Long.MIN_VALUE / 2

    /** The newest configuration, or null before the first one. */
    @Volatile
    var current: ClusterConfig? = null
        private set

    /** Watches the configuration until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { pollPeersWhileOverdue() }
        watchStore()
    }

    /**
     * Polls other processes while the store's change feed is overdue.
     *
     * A feed call on a dead connection ends only at its timeout, which depends on the store's latency and can exceed
     * the time within which a new configuration must be in force.
     */
    private suspend fun pollPeersWhileOverdue() {
        while (true) {
            delay(RETRY_MS)
            if (clock() - lastStoreAnswerAtMs > CHANGE_FEED_WAIT_MS + OVERDUE_MARGIN_MS) pollRandomPeer()
        }
    }

    private suspend fun watchStore() {
        while (!readAll()) delay(RETRY_MS)
        while (true) {
            val sentAt = proof.now()
            // After an outage callers wait for the next proof, so the store responds at once even without a change.
            val waitMs = if (proof.isRecent) CHANGE_FEED_WAIT_MS else 0
            store.changes(PlatformClient.OPERATOR_TABLE, feedVersion, waitMs).fold(
                ifLeft = { failure ->
                    if (failure is ReadFailure.HistoryGone) readAll()
                    delay(RETRY_MS)
                },
                ifRight = { page ->
                    lastStoreAnswerAtMs = clock()
                    page.rows.forEach(::applyRow)
                    recordProof(sentAt)
                    feedVersion = maxOf(feedVersion, page.version)
                    // Without a valid configuration a response proves nothing, and the next call would not wait either.
                    if (!proof.isRecent) delay(RETRY_MS)
                },
            )
        }
    }

    /**
     * The reply to a peer that cannot reach the store; called by any thread.
     *
     * The proof is read first. Otherwise a version that arrives in between would be proven but not passed on.
     */
    fun replyFor(knownVersion: Long): ConfigReply {
        val provenAgeMs = proof.ageMs
        return ConfigReply(content.takeIf { (current?.version ?: 0) > knownVersion }, provenAgeMs)
    }

    private suspend fun readAll(): Boolean {
        val sentAt = proof.now()
        val page = store.readPage(RowRangeQuery(PlatformClient.OPERATOR_TABLE, "")).getOrNull() ?: return false
        lastStoreAnswerAtMs = clock()
        page.rows.forEach(::applyRow)
        recordProof(sentAt)
        feedVersion = maxOf(feedVersion, page.version)
        return true
    }

    private suspend fun pollRandomPeer() {
        val peer = peers().randomOrNull(Random) ?: return
        val sentAt = proof.now()
        val reply = fetchFromPeer(peer, current?.version ?: 0) ?: return
        reply.content?.let { applyContent(it, PlatformClient.parseConfig(it), "peer ${peer.processName}") }
        // The peer's proof covers all versions up to its own, which this process has now as well.
        reply.provenAgeMs?.let { recordProof(sentAt, it) }
    }

    /** A configuration that cannot be decoded may withdraw keys, so nothing is proven until a newer one is in force. */
    private fun recordProof(sentAt: ProofTime, ageMs: Long = 0) {
        if (current != null && !isNewestMalformed) proof.record(sentAt, ageMs)
    }

    private fun applyRow(row: StoredRow) {
        val value = row.value ?: return
        applyContent(value, PlatformClient.parseConfig(row) ?: return, "store version ${row.version}")
    }

    private fun applyContent(bytes: ByteArray, decoded: Either<String, ClusterConfig>, source: String) {
        val config = decoded.fold(
            ifLeft = {
                isNewestMalformed = true
                return log.event("malformed", "cause" to it, "source" to source)
            },
            ifRight = { it },
        )
        if (config.version <= (current?.version ?: -1)) return
        isNewestMalformed = false
        content = bytes
        current = config
        log.event(
            "in_force",
            "version" to config.version,
            "queues" to config.queues.size,
            "accounts" to config.accounts?.all?.size,
            "source" to source,
        )
    }
}
