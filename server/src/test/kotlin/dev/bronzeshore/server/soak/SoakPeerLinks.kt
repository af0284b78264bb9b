/** The links between the processes of a soak: the store shows each process addresses of its own for the others. */
package dev.bronzeshore.server.soak

import java.util.Base64
import java.util.concurrent.ConcurrentHashMap

/** Tables whose rows name addresses of processes. */
private val TABLES = setOf("nodes", "leader")
private val ADDRESS = Regex("127\\.0\\.0\\.1:(\\d{5})")

/** Thread-safe. Without [isLinked], processes reach each other directly. */
internal class SoakPeerLinks(private val cuts: SoakCuts, private val isLinked: Boolean) {
    private val processesByPort = ConcurrentHashMap<Int, String>()
    private val links = ConcurrentHashMap<Pair<String, Int>, SoakPeerLink>()

    fun register(process: SoakProcess) {
        processesByPort[process.peersPort] = process.name
    }

    /** [row] as [caller] is to see it: other processes are behind its own links to them. */
    fun shownTo(caller: String, row: SoakRow): SoakRow {
        if (!isLinked || row.id.table !in TABLES || row.value == null) return row
        val text = String(Base64.getDecoder().decode(row.value), Charsets.ISO_8859_1)
        // All ports have five digits, so the lengths that the encoded row contains stay right.
        val shown = ADDRESS.replace(text) { "127.0.0.1:${portFor(caller, it.groupValues[1].toInt())}" }
        return SoakRow(row.id, Base64.getEncoder().encodeToString(shown.toByteArray(Charsets.ISO_8859_1)), row.version)
    }

    private fun portFor(caller: String, port: Int): Int {
        val target = processesByPort[port]
        if (target == null || target == caller) return port
        return links.computeIfAbsent(caller to port) { SoakPeerLink(port) { cuts.areApart(caller, target) } }.port
    }
}
