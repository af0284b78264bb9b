/** Reads whole tables page by page. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.RowPage
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit

/** Partitions read in parallel. In a slow period of the store a read takes 300 ms, and a takeover needs 66 of them. */
private const val PARALLEL_READS = 24

/** Rows of a table, the version from which its change feed continues, and the store's clock when it told that. */
public class TableContent(public val rows: List<StoredRow>, public val version: Long, public val storeMs: Long? = null)

/** Reads whole tables, of which the store returns a page at a time. */
public class TableReader(private val store: ClusterStore) {
    /** Reads all partitions that the table can have; null if one of them cannot be read now. */
    public suspend fun readTable(table: String): TableContent? = coroutineScope {
        val slots = Semaphore(PARALLEL_READS)
        val contents = partsOf(table).map { part -> async { slots.withPermit { readPart(table, part) } } }.awaitAll()
        if (contents.any { it == null }) return@coroutineScope null
        TableContent(
            contents.flatMap { it?.rows.orEmpty() },
            contents.minOf { it?.version ?: 0 },
            contents.mapNotNull { it?.storeMs }.minOrNull(),
        )
    }

    /** Reads one partition; null if that fails. The version is that of the first page, so that no change is missed. */
    public suspend fun readPart(table: String, part: String): TableContent? {
        val rows = ArrayList<StoredRow>()
        var first: RowPage? = null
        var fromKey: String? = null
        while (true) {
            val page = store.readPage(RowRangeQuery(table, part, fromKey)).getOrNull() ?: return null
            val start = first ?: page
            first = start
            rows += page.rows
            if (!page.hasMore) return TableContent(rows, start.version, start.storeMs)
            fromKey = page.rows.last().id.key + "\u0001"
        }
    }

    private fun partsOf(table: String): List<String> = when (table) {
        Tables.INTAKE -> Tables.INTAKE_PARTITIONS
        Tables.PROGRESS, Tables.LEADER_STATE, Tables.LEADER -> listOf(Tables.LEADER_PARTITION)
        Tables.NODES -> listOf(Tables.NODES_PARTITION)
        else -> listOf("")
    }
}
