/** Process discovery: each process registers itself in the store and reads the rows of the others. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.encodeRow
import dev.bronzeshore.scheduler.TableReader
import kotlinx.coroutines.delay

private const val RETRY_MS = 300L

/** Processes join and leave a few times a day; the leader needs new ones soon, to spread its advice calls. */
private const val REFRESH_LEADER_MS = 2_000L
private const val REFRESH_OTHERS_MS = 10_000L

internal class NodeDirectory(
    private val store: ClusterStore,
    private val own: NodeRow,
    private val isLeader: () -> Boolean,
) {
    private val log = ComponentLog("nodes")

    /** All other processes that were registered at the last refresh. */
    @Volatile
    var peers: List<NodeRow> = emptyList()
        private set

    suspend fun run() {
        while (!register()) delay(RETRY_MS)
        while (true) {
            refresh()
            var waitedMs = 0L
            while (waitedMs < (if (isLeader()) REFRESH_LEADER_MS else REFRESH_OTHERS_MS)) {
                delay(RETRY_MS)
                waitedMs += RETRY_MS
            }
        }
    }

    private suspend fun register(): Boolean {
        val row = RowId(Tables.NODES, Tables.NODES_PARTITION, own.processName)
        val write = RowWrite(row, encodeRow(NodeRow.serializer(), own))
        return store.transact(StoreTransaction(writes = listOf(write))) is StoreOutcome.Applied
    }

    private suspend fun refresh() {
        val nodes = TableReader(store).readPart(Tables.NODES, Tables.NODES_PARTITION) ?: return
        peers = nodes.rows.mapNotNull { row ->
            val value = row.value ?: return@mapNotNull null
            decodeRow(NodeRow.serializer(), value)
                .onLeft { log.warn { "The row of process ${row.id.key} is malformed: $it" } }
                .getOrNull()
        }.filter { it.processName != own.processName }
    }
}
