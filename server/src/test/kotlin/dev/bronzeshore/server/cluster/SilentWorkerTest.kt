/** Workers that are silent or report late while they go on working: their runs are left alone. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

private const val JOB = "00000000000000aa"
private const val OUTAGE_MS = 1_000L

class SilentWorkerTest {
    /**
     * Guards against runs that count as stalled while their reports are late, as after a pause of the leader: it
     * compared its own time with the last progress that it had heard of, and restarted all of them.
     */
    @Test
    fun `runs whose reports are late are not restarted`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 31, workerCount = 4)
        var reportDelayMs = 0L
        simulation.lead(pollDelayMs = { reportDelayMs })
        simulation.submit(JOB, step(replicas = 16, cores = 4, durationMs = 6_000))
        awaitUntil { simulation.workers.checker.starts == 16 }
        reportDelayMs = 2_000
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 15_000))
        assertEquals(16, simulation.workers.checker.starts)
    }

    /** Guards against stalled runs that are no longer found. */
    @Test
    fun `a run without progress is restarted elsewhere`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 32, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = 1_000))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.faults.stalled += "w0"
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 8_000))
        assertEquals(6, simulation.workers.checker.starts)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /**
     * Guards against runs that are started elsewhere while they go on: the entry of a draining worker expired in an
     * outage of the store, and the worker was taken to have left.
     */
    @Test
    fun `a draining worker whose entry expires in an outage keeps its runs`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 33, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = 5_000))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.drain("w0")
        delay(OUTAGE_MS)
        simulation.store.faults.isDown = true
        simulation.unlist("w0")
        delay(OUTAGE_MS)
        simulation.store.faults.isDown = false
        delay(OUTAGE_MS)
        simulation.workers.drain("w0")
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 8_000))
        assertEquals(4, simulation.workers.checker.starts)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against runs that wait for a worker which has drained and left during an outage. */
    @Test
    fun `runs of a draining worker that leaves in an outage start elsewhere`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 34, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 2, cores = 8, durationMs = 5_000))
        awaitUntil { simulation.workers.checker.starts == 2 }
        simulation.workers.drain("w0")
        simulation.workers.drain("w1")
        simulation.workers.boot("w2")
        delay(OUTAGE_MS)
        simulation.store.faults.isDown = true
        listOf("w0", "w1").forEach {
            simulation.workers.crash(it)
            simulation.unlist(it)
        }
        delay(OUTAGE_MS)
        simulation.store.faults.isDown = false
        awaitUntil(withinMs = 4_000) { simulation.workers.checker.starts == 4 }
    }

    /**
     * Guards against runs of a crashed worker that wait for the end of its leases, although the answers of its
     * successor show that it no longer exists.
     */
    @Test
    fun `runs of a crashed worker start elsewhere once another worker answers at its address`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 35, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = 2_000))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.crashAndReplace("w0")
        awaitUntil(withinMs = 4_000) { simulation.workers.checker.starts == 6 }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }
}
