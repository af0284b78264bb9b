/** Which process has led which term, by the rows in the store. */
package dev.bronzeshore.server.soak

import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.decodeRow
import kotlinx.serialization.Serializable
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

/** Thread-safe. */
internal class SoakTerms {
    @Serializable
    private data class TermRow(val term: Long, val processName: String, val bootId: String, val peerAddress: String)

    private val leaders = ConcurrentHashMap<Long, String>()

    /** The process that holds the newest term, or null before the first one. */
    @Volatile
    var newestLeader: String? = null
        private set

    fun record(row: SoakRow) {
        val isTerm = row.id.table == Tables.TERM_ROW.table && row.id.key == Tables.TERM_ROW.key
        val value = row.value?.takeIf { isTerm } ?: return
        val term = decodeRow(TermRow.serializer(), Base64.getDecoder().decode(value)).getOrNull() ?: return
        leaders[term.term] = term.processName
        newestLeader = term.processName
    }

    fun leaderOf(term: Long): String? = leaders[term]
}
