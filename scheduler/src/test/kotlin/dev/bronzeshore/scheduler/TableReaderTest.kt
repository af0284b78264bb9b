/** Tables with as many rows as one read of the store returns, with more, and reads that fail between two pages. */
package dev.bronzeshore.scheduler

import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.RowPage
import dev.bronzeshore.core.cluster.RowRangeQuery
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** What the store returns for one read. */
private const val MAX_PAGE_ROWS = 500
private const val MAX_PAGE_BYTES = 1_000_000
private const val LONGEST_KEY = 200

class TableReaderTest {
    internal data class Case(val rows: Int, val rowBytes: Int, val reads: Int)

    /** A store with rows in one partition; [onRead] is called before each read, with its number from 1. */
    private class PagedStore(
        rows: Int,
        rowBytes: Int,
        private val onRead: PagedStore.(Int) -> ReadFailure? = { null },
    ) {
        private val values = sortedMapOf<String, ByteArray>()
        private var version = 1L
        var reads = 0
            private set

        init {
            repeat(rows) { values["$it".padStart(LONGEST_KEY, '0')] = ByteArray(rowBytes) }
        }

        val keys: List<String> get() = values.keys.toList()

        fun put(key: String) {
            version++
            values[key] = ByteArray(0)
        }

        fun remove(key: String) {
            version++
            values.remove(key)
        }

        val client = ClusterStore(
            transact = { error("no writes") },
            readPage = { query -> onRead(++reads)?.left() ?: page(query).right() },
            changes = { _, _, _ -> error("no feed") },
        )

        private fun page(query: RowRangeQuery): RowPage {
            val found = if (query.partition ==
                Tables.LEADER_PARTITION
            ) {
                values.tailMap(query.fromKey.orEmpty())
            } else {
                emptyMap()
            }
            var bytes = 0
            val taken = found.entries.take(MAX_PAGE_ROWS).takeWhile { (key, value) ->
                bytes += key.length + value.size
                bytes <= MAX_PAGE_BYTES
            }
            val rows = taken.map { StoredRow(RowId(query.table, query.partition, it.key), it.value, version) }
            return RowPage(rows, hasMore = taken.size < found.size, version, storeMs = 1_000L * reads)
        }
    }

    private suspend fun PagedStore.read() = TableReader(client).readTable(Tables.PROGRESS)

    /** Guards against rows beyond the first page that a new leader does not know, so that their tasks run twice. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `reads all rows, each once`(case: Case) = runTest {
        val store = PagedStore(case.rows, case.rowBytes)
        assertEquals(store.keys, store.read()?.rows?.map { it.id.key })
        assertEquals(case.reads, store.reads)
    }

    /** Guards against the first pages that count as the whole table, because a later one cannot be read. */
    @ParameterizedTest
    @MethodSource("failures")
    internal fun `a table of which a page cannot be read is not known`(failure: ReadFailure) = runTest {
        for (failedRead in 1..3) {
            val store = PagedStore(2 * MAX_PAGE_ROWS + 1, rowBytes = 1) { failure.takeIf { _ -> it == failedRead } }
            assertNull(store.read())
            assertEquals(failedRead, store.reads)
        }
    }

    /** Guards against changes between two pages that are missed, as the change feed continues after them. */
    @Test
    fun `the feed continues from the first page`() = runTest {
        val store = PagedStore(MAX_PAGE_ROWS + 1, rowBytes = 1) { read ->
            if (read == 2) {
                put("0")
                remove(keys.last())
            }
            null
        }
        val content = store.read()
        assertEquals(1L, content?.version)
        assertEquals(1_000L, content?.storeMs)
    }

    companion object {
        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case(rows = 0, rowBytes = 1, reads = 1),
            Case(rows = 499, rowBytes = 1, reads = 1),
            Case(rows = 500, rowBytes = 1, reads = 1),
            Case(rows = 501, rowBytes = 1, reads = 2),
            Case(rows = 1_000, rowBytes = 1, reads = 2),
            Case(rows = 1_001, rowBytes = 1, reads = 3),
            Case(rows = 100, rowBytes = 9_800, reads = 1),
            Case(rows = 100, rowBytes = 9_801, reads = 2),
            Case(rows = 16, rowBytes = MAX_ROW_BYTES, reads = 2),
        )

        @JvmStatic
        fun failures(): List<Any> = listOf(ReadFailure.Unavailable("status 503"), ReadFailure.HistoryGone)
    }
}
