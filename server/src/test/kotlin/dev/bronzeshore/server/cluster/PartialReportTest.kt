/** Takeovers after which the first reports of a worker do not list all that it runs and has ended. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

private const val JOB = "00000000000000aa"
private const val WAITING_JOB = "00000000000000bb"
private const val NEW_JOB = "00000000000000cc"
private const val RUN_MS = 14_000L
private const val MOST_ENDS_IN_REPORT = 500

/** The outage begins when the new leader has read the store, and before it has the first reports. */
private const val POLL_DELAY_MS = 200L

/** Time after a takeover at which the leases of the former leader have expired. */
private const val FORMER_LEASES_MS = 9_380L

class PartialReportTest {
    /** Guards against a report with entries that cannot be decoded which counts as all that the worker runs. */
    @Test
    fun `a new leader does not take a report that is not whole for complete`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 21, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = 1, cores = 8, durationMs = RUN_MS))
        awaitUntil { simulation.workers.checker.starts == 1 }
        simulation.workers.boot("w1")
        simulation.awaitRoster()
        simulation.workers.faults.malformedReports += "w0"
        simulation.unlist("w0")
        simulation.stopLeader()
        simulation.lead()
        delay(1_000)
        simulation.workers.faults.malformedReports.clear()
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = RUN_MS))
        assertNoDuplicates(simulation, starts = 1)
    }

    /** Guards against a worker without a whole report that delays older jobs for ever, or new jobs at all. */
    @Test
    fun `a worker without a whole report delays older jobs until the leases have expired`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 24, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.stopLeader()
        simulation.workers.faults.malformedReports += "w0"
        simulation.unlist("w0")
        simulation.submit(JOB, step(replicas = 1, cores = 1, durationMs = 100))
        simulation.lead()
        simulation.submit(NEW_JOB, step(replicas = 1, cores = 1, durationMs = 100))
        assertTrue(simulation.awaitPhase(NEW_JOB, JobPhase.COMPLETED, withinMs = 2_000))
        delay(FORMER_LEASES_MS - 2_500)
        assertEquals(1, simulation.workers.checker.starts)
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 3_000))
        assertNoDuplicates(simulation, starts = 2)
    }

    /**
     * Guards against a report with the most ends that fit which counts as all that the worker has ended; the further
     * ends are listed once the store holds the first ones, which an outage delays beyond the former leases.
     */
    @ParameterizedTest
    @ValueSource(longs = [0, 9_000])
    fun `a new leader waits for the ends that do not fit in the first report`(outageMs: Long) = runTest {
        val simulation = SchedulerSimulation(this, seed = 23, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, smallTasks(replicas = 1_200))
        awaitUntil { simulation.workers.checker.starts == 1_200 }
        simulation.stopLeader()
        awaitUntil { simulation.workers.checker.runningCount == 0 }
        simulation.lead(pollDelayMs = { POLL_DELAY_MS })
        delay(POLL_DELAY_MS / 2)
        simulation.store.faults.isDown = outageMs > 0
        delay(outageMs)
        simulation.store.faults.isDown = false
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 3_000))
        assertNoDuplicates(simulation, starts = 1_200)
    }

    /** Guards against a poll that waits for an end while a new leader does not know whether there are further ones. */
    @Test
    fun `a new leader asks at once whether there are ends beyond a full report`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 25, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, smallTasks(replicas = MOST_ENDS_IN_REPORT))
        awaitUntil { simulation.workers.checker.starts == MOST_ENDS_IN_REPORT }
        simulation.stopLeader()
        awaitUntil { simulation.workers.checker.runningCount == 0 }
        simulation.submit(WAITING_JOB, step(replicas = 1, cores = 1, durationMs = 100))
        simulation.lead()
        assertTrue(simulation.awaitPhase(WAITING_JOB, JobPhase.COMPLETED, withinMs = 1_000))
        assertNoDuplicates(simulation, starts = MOST_ENDS_IN_REPORT + 1)
    }

    private fun smallTasks(replicas: Int) =
        step(replicas, cores = 0, durationMs = 500).let { it.copy(size = it.size.copy(memoryBytes = 1)) }

    private fun assertNoDuplicates(simulation: SchedulerSimulation, starts: Int) {
        assertEquals(emptyList<String>(), simulation.workers.checker.violations.take(3))
        assertEquals(starts, simulation.workers.checker.starts)
    }
}
