/** The row with the speeds of the workers of a fleet of the design size. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation
import dev.bronzeshore.core.cluster.WorkerSpeedsRow
import dev.bronzeshore.core.cluster.encodeRow
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SpeedsRowTest {
    private fun speedsRowBytes(workers: Int, idBytes: Int): Int {
        val speeds = SpeedEstimator()
        val tracked = List(workers) {
            val incarnation = WorkerIncarnation("$it".padStart(idBytes, 'w'), 1)
            val entry = WorkerEntry(incarnation, "s", "a:1", "z", false, Resources(1_000, 1), emptySet(), null)
            TrackedWorker(entry).also { worker -> speeds.observe("q", worker, ratio = 1.5) }
        }
        return encodeRow(WorkerSpeedsRow.serializer(), WorkerSpeedsRow(speeds.toRow(tracked))).size
    }

    /** Guards against speeds of a fleet of the design size that the store refuses, with the ends of all jobs. */
    @Test
    fun `the speeds of a fleet of the design size fit`() {
        val bytes = speedsRowBytes(workers = 800, idBytes = 42)
        assertTrue(bytes <= MAX_ROW_BYTES, "$bytes bytes")
    }
}
