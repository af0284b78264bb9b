/** Keeps the operators' configuration; its version never falls. */
package dev.bronzeshore.server.cluster

import arrow.core.Either
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterConfig
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.platform.cluster.PlatformLink
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Longest wait of the change feed: a connection that has fallen silent is noticed this much later. */
private const val FEED_WAIT_MS = 800L
private const val RETRY_MS = 100L

internal class ConfigFollower(
    private val store: ClusterStore,
    private val peers: () -> List<NodeRow>,
    private val calls: PeerCaller,
) {
    private val log = EventLog("config")
    private var content: ByteArray? = null
    private var feedVersion = 0L

    /** The newest configuration, or null before the first one. */
    @Volatile
    var current: ClusterConfig? = null
        private set

    suspend fun run() {
        while (!readAll()) askPeer()
        while (true) {
            store.changes(PlatformLink.OPERATOR_TABLE, feedVersion, FEED_WAIT_MS).fold(
                ifLeft = { failure ->
                    if (failure is ReadFailure.HistoryGone) readAll() else askPeer()
                    delay(RETRY_MS)
                },
                ifRight = { page ->
                    page.rows.forEach(::take)
                    feedVersion = maxOf(feedVersion, page.version)
                },
            )
        }
    }

    /** The content of a version above [knownVersion], for a process that cannot reach the store. */
    fun contentAfter(knownVersion: Long): ByteArray? = content.takeIf { (current?.version ?: 0) > knownVersion }

    private suspend fun readAll(): Boolean {
        val page = store.readPage(RowRangeQuery(PlatformLink.OPERATOR_TABLE, "")).getOrNull() ?: return false
        page.rows.forEach(::take)
        feedVersion = maxOf(feedVersion, page.version)
        return true
    }

    private suspend fun askPeer() {
        val peer = peers().randomOrNull(Random) ?: return delay(RETRY_MS)
        val reply = calls.call(peer, CONFIG_CALL, ConfigRequest(current?.version ?: 0))
        reply?.content?.let { takeContent(it, PlatformLink.configIn(it), "peer ${peer.processName}") }
    }

    private fun take(row: StoredRow) {
        val value = row.value ?: return
        takeContent(value, PlatformLink.configIn(row) ?: return, "store version ${row.version}")
    }

    private fun takeContent(bytes: ByteArray, decoded: Either<String, ClusterConfig>, source: String) {
        val config = decoded.fold({ return log.event("malformed", "cause" to it, "source" to source) }, { it })
        if (config.version <= (current?.version ?: -1)) return
        content = bytes
        current = config
        log.event("in_force", "version" to config.version, "queues" to config.queues.size, "source" to source)
    }
}
