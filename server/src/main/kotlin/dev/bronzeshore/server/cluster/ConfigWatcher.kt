/** Keeps the operators' configuration; its version never falls. */
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
import dev.bronzeshore.platform.cluster.PlatformLink
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

/** Longest wait of the change feed: a connection that has fallen silent is noticed this much later. */
private const val FEED_WAIT_MS = 800L
private const val RETRY_MS = 100L

/** A feed answer this late is on a slow store or a silent connection; an answer takes about 10 ms. */
private const val OVERDUE_MS = 250L

internal class ConfigWatcher(
    private val store: ClusterStore,
    private val clock: ClockMs,
    private val peers: () -> List<NodeRow>,
    /** The configuration of another process if it is newer than the given version, or null. */
    private val askPeer: suspend (NodeRow, version: Long) -> ByteArray?,
) {
    private val log = EventLog("config")
    private var content: ByteArray? = null
    private var feedVersion = 0L

    /** Steady time of the store's last answer; long ago before the first one. */
    private var answeredAtMs = Long.MIN_VALUE / 2

    /** The newest configuration, or null before the first one. */
    @Volatile
    var current: ClusterConfig? = null
        private set

    /** Follows the configuration until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { coverSilence() }
        followStore()
    }

    /**
     * Asks other processes while the store's feed is overdue.
     *
     * A feed call on a connection that has fallen silent ends only after its time-out, which follows the store's
     * latency and can be longer than the time in which a new configuration has to be in force.
     */
    private suspend fun coverSilence() {
        while (true) {
            delay(RETRY_MS)
            if (clock() - answeredAtMs > FEED_WAIT_MS + OVERDUE_MS) askSomePeer()
        }
    }

    private suspend fun followStore() {
        while (!readAll()) delay(RETRY_MS)
        while (true) {
            store.changes(PlatformLink.OPERATOR_TABLE, feedVersion, FEED_WAIT_MS).fold(
                ifLeft = { failure ->
                    if (failure is ReadFailure.HistoryGone) readAll()
                    delay(RETRY_MS)
                },
                ifRight = { page ->
                    answeredAtMs = clock()
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
        answeredAtMs = clock()
        page.rows.forEach(::take)
        feedVersion = maxOf(feedVersion, page.version)
        return true
    }

    private suspend fun askSomePeer() {
        val peer = peers().randomOrNull(Random) ?: return
        askPeer(peer, current?.version ?: 0)
            ?.let { takeContent(it, PlatformLink.configIn(it), "peer ${peer.processName}") }
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
