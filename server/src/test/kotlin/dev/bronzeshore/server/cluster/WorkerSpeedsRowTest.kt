/** Fleets whose learned speeds take as much as a row of the store, or more. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration.Companion.minutes

private const val FIRST_JOB = "00000000000000aa"
private const val SECOND_JOB = "00000000000000bb"
private const val TASK_MS = 1_000L
private const val SPEEDS_STORED_WITHIN_MS = 5_000L
private const val LONGEST_NAME = 200

/** The speed of a worker takes 211 bytes with the longest name. */
private const val WORKERS_AT_LIMIT = 310

class WorkerSpeedsRowTest {
    /** Guards against learned speeds that do not fit into a row and keep the ends of all jobs from being stored. */
    @ParameterizedTest
    @ValueSource(ints = [WORKERS_AT_LIMIT, WORKERS_AT_LIMIT + 1])
    fun `jobs end on a fleet whatever its speeds take`(workers: Int) = runTest(timeout = 3.minutes) {
        runJobsOn(workers)
    }

    /** Guards against speeds that each leader learns anew, because the former one could not store them. */
    @Test
    fun `the speeds of a fleet are stored`() = runTest(timeout = 3.minutes) {
        assertNotNull(runJobsOn(WORKERS_AT_LIMIT).store.valueOf(Tables.SPEEDS_ROW))
    }

    /** Guards against the same where the speeds of all workers do not fit into a row. */
    @Test
    fun `the speeds of a larger fleet are stored`() = runTest(timeout = 3.minutes) {
        assertNotNull(runJobsOn(WORKERS_AT_LIMIT + 1).store.valueOf(Tables.SPEEDS_ROW))
    }

    private suspend fun TestScope.runJobsOn(workers: Int): SchedulerSimulation {
        val simulation = SchedulerSimulation(this, seed = 92, workerCount = 0)
        simulation.store.faults.maxValueBytes = MAX_ROW_BYTES
        repeat(workers) { simulation.workers.boot("$it".padStart(LONGEST_NAME, 'w')) }
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(FIRST_JOB, step(replicas = workers, cores = 16, durationMs = TASK_MS))
        assertTrue(simulation.awaitPhase(FIRST_JOB, JobPhase.COMPLETED, withinMs = 20_000), "end of the first job")
        delay(SPEEDS_STORED_WITHIN_MS)
        simulation.submit(SECOND_JOB, step(replicas = workers, cores = 16, durationMs = TASK_MS))
        assertTrue(simulation.awaitPhase(SECOND_JOB, JobPhase.COMPLETED, withinMs = 20_000), "end of the second job")
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertEquals(2 * workers, simulation.workers.checker.starts)
        return simulation
    }
}
