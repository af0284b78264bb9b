/** Keeps the operators' configuration up to date; its version never decreases. */
package dev.bronzeshore.server.cluster

import arrow.core.Either
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
    private val peers: () -> List<NodeRow>,
    /** Returns the configuration of a peer if it is newer than the given version, or null. */
    private val fetchFromPeer: suspend (NodeRow, version: Long) -> ByteArray?,
) {
    private val log = EventLog("config")
    private var content: ByteArray? = null
    private var feedVersion = 0L

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
            store.changes(PlatformClient.OPERATOR_TABLE, feedVersion, CHANGE_FEED_WAIT_MS).fold(
                ifLeft = { failure ->
                    if (failure is ReadFailure.HistoryGone) readAll()
                    delay(RETRY_MS)
                },
                ifRight = { page ->
                    lastStoreAnswerAtMs = clock()
                    page.rows.forEach(::applyRow)
                    feedVersion = maxOf(feedVersion, page.version)
                },
            )
        }
    }

    /** The configuration if it is newer than [knownVersion], for a peer that cannot reach the store. */
    fun contentNewerThan(knownVersion: Long): ByteArray? = content.takeIf { (current?.version ?: 0) > knownVersion }

    private suspend fun readAll(): Boolean {
        val page = store.readPage(RowRangeQuery(PlatformClient.OPERATOR_TABLE, "")).getOrNull() ?: return false
        lastStoreAnswerAtMs = clock()
        page.rows.forEach(::applyRow)
        feedVersion = maxOf(feedVersion, page.version)
        return true
    }

    private suspend fun pollRandomPeer() {
        val peer = peers().randomOrNull(Random) ?: return
        fetchFromPeer(peer, current?.version ?: 0)
            ?.let { applyContent(it, PlatformClient.parseConfig(it), "peer ${peer.processName}") }
    }

    private fun applyRow(row: StoredRow) {
        val value = row.value ?: return
        applyContent(value, PlatformClient.parseConfig(row) ?: return, "store version ${row.version}")
    }

    private fun applyContent(bytes: ByteArray, decoded: Either<String, ClusterConfig>, source: String) {
        val config = decoded.fold({ return log.event("malformed", "cause" to it, "source" to source) }, { it })
        if (config.version <= (current?.version ?: -1)) return
        content = bytes
        current = config
        log.event("in_force", "version" to config.version, "queues" to config.queues.size, "source" to source)
    }
}
