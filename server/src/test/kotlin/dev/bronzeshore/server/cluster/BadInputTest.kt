/** Malformed rows and reports: they are set aside, and neither the leader nor other jobs and runs are affected. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

private const val JOB = "00000000000000aa"
private const val OTHER_JOB = "00000000000000bb"
private const val GARBAGE_BYTES = 40
private const val OBSERVATION_MS = 3_000L

class BadInputTest {
    data class BadRow(val name: String, val id: RowId) {
        override fun toString() = name
    }

    /** Guards against a row that ends the leader, and then each process that takes over from it. */
    @ParameterizedTest
    @MethodSource("rows")
    fun `a malformed row does not keep other jobs from running`(row: BadRow) = runTest {
        val simulation = SchedulerSimulation(this, seed = 21, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.store.put(row.id, Random(21).nextBytes(GARBAGE_BYTES))
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 3_000))
        simulation.stopLeader()
        simulation.store.put(row.id, Random(22).nextBytes(GARBAGE_BYTES))
        simulation.lead()
        simulation.submit(OTHER_JOB, step(replicas = 2, cores = 4, durationMs = 300))
        assertTrue(simulation.awaitPhase(OTHER_JOB, JobPhase.COMPLETED, withinMs = 12_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against a job that starts anew although its progress cannot be decoded: tasks of it may have run. */
    @Test
    fun `a job whose progress is malformed is not started again`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 22, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 3_000))
        simulation.stopLeader()
        simulation.store.put(Tables.progressRow(JOB), byteArrayOf(1))
        simulation.lead()
        delay(OBSERVATION_MS)
        assertEquals(2, simulation.workers.checker.starts)
    }

    /** Guards against runs that are started again because the report of their worker could not be decoded whole. */
    @Test
    fun `a malformed report neither ends nor restarts runs`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 23, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = 4_000))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.faults.malformedReports += "w0"
        delay(OBSERVATION_MS)
        simulation.workers.faults.malformedReports.clear()
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 6_000))
        assertEquals(4, simulation.workers.checker.starts)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against an unexpected error in the work for one worker that ends the work for all others. */
    @Test
    fun `an unexpected error in the calls to one worker leaves the others alone`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 24, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.faults.failingCalls += "w0"
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = 300))
        awaitUntil { simulation.workers.checker.runningCount > 0 }
        simulation.submit(OTHER_JOB, step(replicas = 2, cores = 4, durationMs = 300))
        assertTrue(simulation.awaitPhase(OTHER_JOB, JobPhase.COMPLETED, withinMs = 3_000))
        simulation.workers.faults.failingCalls.clear()
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 15_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    companion object {
        @JvmStatic
        fun rows(): List<BadRow> = listOf(
            BadRow("accepted job", Tables.acceptedRow("00000000000000cc")),
            BadRow("progress", Tables.progressRow("00000000000000cc")),
            BadRow("roster", Tables.ROSTER_ROW),
            BadRow("speeds", Tables.SPEEDS_ROW),
            BadRow("waiting counts", Tables.WAITING_ROW),
        )
    }
}
