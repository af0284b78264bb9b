/**
 * Decides when a process may try to take over leadership.
 *
 * Not thread-safe. Times are of the steady clock of this process.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.PartLog
import dev.bronzeshore.core.cluster.LatencyEstimate
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.decodeRow

/** A leader renews three times within this time; shorter times mistake a pause of the runtime for a lost leader. */
internal const val LEADER_TIMEOUT_MS = 1_400L

/** In a slow spell of the store the signs of life come later: as many of them must be missing. */
private const val SILENT_BEATS = 2

internal class LeaderTracker(private val processName: String, private val bootId: String, private val clock: ClockMs) {
    private val log = PartLog("leadership")
    var term: TermRow? = null
        private set
    var termVersion: Long = 0
        private set
    var beatVersion: Long = 0
        private set
    private var beat: BeatRow? = null
    private val beatGap = LatencyEstimate()
    private var beatSeenAtMs: Long? = null

    /** Start of the time for which the leader has shown no sign of life while the store answered; null if unknown. */
    private var silentSinceMs: Long? = null

    /** Takes in rows that were read or changed. */
    fun observe(rows: List<StoredRow>) {
        for (row in rows) {
            when (row.id) {
                Tables.TERM_ROW -> observeTerm(row)
                Tables.BEAT_ROW -> observeBeat(row)
            }
        }
    }

    private fun observeTerm(row: StoredRow) {
        val value = row.value
        if (value == null || row.version <= termVersion) return
        term = decode(row) { decodeRow(TermRow.serializer(), value) } ?: return
        termVersion = row.version
        silentSinceMs = null
    }

    private fun observeBeat(row: StoredRow) {
        val value = row.value
        if (value == null || row.version <= beatVersion) return
        beat = decode(row) { decodeRow(BeatRow.serializer(), value) } ?: return
        beatVersion = row.version
        beatSeenAtMs?.let { beatGap.observe(clock() - it) }
        beatSeenAtMs = clock()
        silentSinceMs = null
    }

    /** The store has answered with everything that it holds. */
    fun storeAnswered() {
        if (silentSinceMs == null) silentSinceMs = clock()
    }

    /** Silence counts only while the store answers: without it the leader cannot show a sign of life either. */
    fun storeFailed() {
        silentSinceMs = null
    }

    /** True if nobody leads, the leader has released its term or is lost, or it was an earlier life of this process. */
    fun mayTakeOver(): Boolean {
        val leader = term ?: return true
        if (leader.processName == processName && leader.bootId != bootId) return true
        if (beat?.let { it.isReleased && it.term == leader.term } == true) return true
        return silenceLeftMs() == 0L
    }

    /** Time until the leader counts as lost if it stays silent, at most [mostMs]. */
    fun silenceLeftMs(mostMs: Long = Long.MAX_VALUE): Long {
        val since = silentSinceMs ?: return mostMs
        val timeoutMs = maxOf(LEADER_TIMEOUT_MS, SILENT_BEATS * beatGap.typicalMs)
        return (since + timeoutMs - clock()).coerceIn(0, mostMs)
    }

    private fun <T> decode(row: StoredRow, parse: () -> T): T? = try {
        parse()
    } catch (failure: IllegalArgumentException) {
        log.warn { "Row ${row.id} is malformed and is passed over: ${failure.message}" }
        null
    }
}
