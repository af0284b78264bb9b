/** The row with the counts of waiting jobs of as many queues as a configuration can have. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.WaitingCounts
import dev.bronzeshore.core.cluster.encodeRow
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Longest name in the store, in bytes. */
private const val LONGEST_NAME = 200

class WaitingCountsRowTest {
    /**
     * Guards against counts that the store refuses. The configuration that names the queues is a row as well, and its
     * shortest entry of a queue takes more than the longest count; so the counts of one configuration always fit.
     */
    @Test
    fun `the waiting counts of the largest configuration fit`() {
        for (nameBytes in listOf(1, 10, LONGEST_NAME)) {
            val entryBytes = """{"name":"","host":"","prefix":"","service":""},""".length + nameBytes
            val queues = List(MAX_ROW_BYTES / entryBytes) { "$it".padStart(nameBytes, 'q') }
            val row = encodeRow(WaitingCounts.serializer(), WaitingCounts(queues.associateWith { Int.MAX_VALUE }))
            assertTrue(row.size <= MAX_ROW_BYTES) { "${queues.size} queues with $nameBytes: ${row.size} bytes" }
        }
    }
}
