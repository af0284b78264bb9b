/**
 * Failure detector for the leader: decides when a process may try to take over.
 *
 * Not thread-safe. Times are of the monotonic clock of this process.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.cluster.LatencyEstimate
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.decodeRow
import kotlinx.serialization.KSerializer

/** A leader renews three times within this time; a shorter timeout mistakes a pause of the JVM for a lost leader. */
internal const val LEADER_TIMEOUT_MS = 1_400L

/** In a slow period of the store, heartbeats arrive at longer intervals; this many of them must be missing. */
private const val MISSED_HEARTBEATS = 2

internal class LeaderTracker(private val processName: String, private val bootId: String, private val clock: ClockMs) {
    private val log = ComponentLog("leadership")
    var term: TermRow? = null
        private set
    var termVersion: Long = 0
        private set
    var heartbeatVersion: Long = 0
        private set
    private var heartbeat: HeartbeatRow? = null
    private val heartbeatInterval = LatencyEstimate()
    private var heartbeatSeenAtMs: Long? = null

    /** Start of the period without a heartbeat in which the store has responded; null if there is none. */
    private var silentSinceMs: Long? = null

    /** Processes rows that were read from the store or came with its change feed. */
    fun observe(rows: List<StoredRow>) {
        for (row in rows) {
            when (row.id) {
                Tables.TERM_ROW -> observeTerm(row)
                Tables.HEARTBEAT_ROW -> observeHeartbeat(row)
            }
        }
    }

    private fun observeTerm(row: StoredRow) {
        val value = row.value
        if (value == null || row.version <= termVersion) return
        term = decode(row, TermRow.serializer(), value) ?: return
        termVersion = row.version
        silentSinceMs = null
    }

    private fun observeHeartbeat(row: StoredRow) {
        val value = row.value
        if (value == null || row.version <= heartbeatVersion) return
        heartbeat = decode(row, HeartbeatRow.serializer(), value) ?: return
        heartbeatVersion = row.version
        heartbeatSeenAtMs?.let { heartbeatInterval.observe(clock() - it) }
        heartbeatSeenAtMs = clock()
        silentSinceMs = null
    }

    /** Starts the period without a heartbeat if none is running; call after [observe] with the rows of a response. */
    fun onStoreResponse() {
        if (silentSinceMs == null) silentSinceMs = clock()
    }

    /** Ends the period without a heartbeat: while the store does not respond, the leader cannot store one either. */
    fun onStoreFailure() {
        silentSinceMs = null
    }

    /** True if there is no leader, it has released its term, has timed out, or was an earlier boot of this process. */
    fun canTakeOver(): Boolean {
        val leader = term ?: return true
        if (leader.processName == processName && leader.bootId != bootId) return true
        if (heartbeat?.let { it.isReleased && it.term == leader.term } == true) return true
        return timeToTimeoutMs() == 0L
    }

    /** Time until the leader times out if no heartbeat arrives, at most [maxMs]. */
    fun timeToTimeoutMs(maxMs: Long = Long.MAX_VALUE): Long {
        val since = silentSinceMs ?: return maxMs
        val timeoutMs = maxOf(LEADER_TIMEOUT_MS, MISSED_HEARTBEATS * heartbeatInterval.typicalMs)
        return (since + timeoutMs - clock()).coerceIn(0, maxMs)
    }

    private fun <T> decode(row: StoredRow, serializer: KSerializer<T>, value: ByteArray): T? =
        decodeRow(serializer, value).onLeft { log.warn { "Ignored malformed row ${row.id}: $it" } }.getOrNull()
}
