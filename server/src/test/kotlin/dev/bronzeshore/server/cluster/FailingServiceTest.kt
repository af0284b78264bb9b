/** Service tasks that fail again and again: they start again, and what is kept of them does not grow. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

private const val SERVICE_JOB = "00000000000000aa"
private const val OTHER_JOB = "00000000000000bb"
private const val OBSERVATION_MS = 20_000L
private const val TASKS = 40

/** An empty progress takes less; a run number takes up to five bytes. */
private const val MAX_ROW_BYTES = 500

class FailingServiceTest {
    /**
     * Guards against a service whose failed runs make its progress row too long for the store: no end of any job was
     * stored any more, and no task of the service started again.
     */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `failed runs of a service are not kept`(isGang: Boolean) = runTest {
        val simulation = SchedulerSimulation(this, seed = 81, workerCount = 4)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.faults.failing += simulation.workers.ids
        val failing = step(TASKS, cores = 1, durationMs = 100, isGang = isGang).copy(isService = true)
        simulation.submit(SERVICE_JOB, failing, attempts = 3)
        delay(OBSERVATION_MS)
        val bytes = simulation.store.valueOf(Tables.progressRow(SERVICE_JOB))?.size ?: 0
        assertTrue(bytes <= MAX_ROW_BYTES, "$bytes bytes")
        val starts = simulation.workers.checker.starts
        simulation.stopLeader()
        simulation.lead()
        awaitUntil { simulation.workers.checker.starts > starts + TASKS }
    }

    /** Guards against other jobs that fail as seldom as services do, because their failures are not counted. */
    @Test
    fun `failed runs of other jobs are still counted`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 82, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.faults.failing += simulation.workers.ids
        simulation.submit(OTHER_JOB, step(replicas = 1, cores = 1, durationMs = 100), attempts = 3)
        assertTrue(simulation.awaitPhase(OTHER_JOB, JobPhase.FAILED, withinMs = OBSERVATION_MS))
    }
}
