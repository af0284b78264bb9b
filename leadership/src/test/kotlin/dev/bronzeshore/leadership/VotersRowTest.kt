/** Size of the row with the processes that vote on leases. */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.encodeRow
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class VotersRowTest {
    /** Guards against voters that the store refuses, so that no lease outlives an outage of the store. */
    @ParameterizedTest
    @CsvSource("3, 200", "300, 200", "324, 200", "3000, 19")
    fun `the voters of a large installation fit`(processes: Int, nameBytes: Int) {
        val row = VotersRow(Long.MAX_VALUE, List(processes) { "$it".padStart(nameBytes, 'n') })
        val bytes = encodeRow(VotersRow.serializer(), row)
        assertTrue(bytes.size <= MAX_ROW_BYTES) { "${bytes.size} bytes" }
        assertEquals(row, decodeRow(VotersRow.serializer(), bytes).getOrNull())
    }

    /** Guards against voting workers with long names whose row the store refuses. */
    @Test
    fun `the most voting workers fit`() {
        val worker = WorkerVoter("n".repeat(200), Long.MAX_VALUE)
        val row = VotingWorkersRow(List(MAX_WORKER_VOTERS) { worker })
        assertTrue(encodeRow(VotingWorkersRow.serializer(), row).size <= MAX_ROW_BYTES)
    }
}
