/** Rows that are no longer needed: how fast they disappear from the store and from the memory of the leader. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val ENDED_JOBS = 400
private const val LONG_AGO_MS = -600_000L

/** Jobs that end in this time have to be deleted in the same time: 40 a second. */
private const val DELETION_MS = 10_000L

class RowDeletionTest {
    /** Guards against ends of jobs that fill the memory of the leader, because fewer are deleted than are added. */
    @Test
    fun `the rows of ended jobs are deleted as fast as jobs end`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 71, workerCount = 1)
        val ended = encodeRow(JobProgress.serializer(), JobProgress(JobPhase.COMPLETED, endedAtMs = LONG_AGO_MS))
        repeat(ENDED_JOBS) { simulation.store.put(Tables.progressRow("%016x".format(it)), ended) }
        simulation.lead()
        assertTrue(holdsWithin(DELETION_MS) { simulation.store.rowsOf(Tables.PROGRESS).isEmpty() })
        assertTrue(holdsWithin(DELETION_MS) { simulation.runner?.memoryUse?.heldBytes == 0L })
    }
}
