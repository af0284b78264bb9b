/** Directories with as many processes as one read of the store returns, and with more. */
package dev.bronzeshore.server.cluster

import arrow.core.right
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.NodeRow
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowPage
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** What the store returns for one read. */
private const val MAX_PAGE_ROWS = 500
private const val OWN_NAME = "node-0"

/** Longer than a refresh, which takes no time here. */
private const val REFRESHED_WITHIN_MS = 1_000L

class NodeDirectoryTest {
    /** Guards against processes that get no calls for votes and advice, because no other one knows them. */
    @ParameterizedTest
    @ValueSource(ints = [1, 499, 500])
    fun `knows the processes of one read`(processes: Int) = assertKnowsAll(processes)

    /** Guards against the same for the processes after the first read. */
    @ParameterizedTest
    @ValueSource(ints = [501, 1_001])
    fun `knows the processes of several reads`(processes: Int) = assertKnowsAll(processes)

    private fun assertKnowsAll(processes: Int) = runTest {
        val nodes = List(processes) { NodeRow("node-$it", "boot", "10.0.0.1:$it") }
        val directory = NodeDirectory(storeOf(nodes), nodes.first()) { true }
        backgroundScope.launch { directory.run() }
        delay(REFRESHED_WITHIN_MS)
        val expected = nodes.map { it.processName }.toSet() - OWN_NAME
        assertEquals(expected.size, directory.peers.size)
        assertEquals(expected, directory.peers.map { it.processName }.toSet())
    }

    private fun storeOf(nodes: List<NodeRow>): ClusterStore {
        val rows = nodes.map {
            val id = RowId(Tables.NODES, Tables.NODES_PARTITION, it.processName)
            StoredRow(id, encodeRow(NodeRow.serializer(), it), version = 1)
        }.sortedBy { it.id.key }
        return ClusterStore(
            transact = { StoreOutcome.Applied(1) },
            readPage = { query -> pageOf(rows, query).right() },
            changes = { _, _, _ -> error("no feed") },
        )
    }

    private fun pageOf(rows: List<StoredRow>, query: RowRangeQuery): RowPage {
        val found = rows.filter { it.id.key >= query.fromKey.orEmpty() }
        return RowPage(found.take(MAX_PAGE_ROWS), found.size > MAX_PAGE_ROWS, version = 1, storeMs = 1)
    }
}
