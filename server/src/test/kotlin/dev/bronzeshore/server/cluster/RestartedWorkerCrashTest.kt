/** Crashes of workers that keep their id, and draining workers that are silent after an outage of the store. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.decodeRow
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val JOB = "00000000000000aa"
private const val DURATION_MS = 5_000L
private const val STEP_MS = 500L

/** Less than a lease: the worker's runs go on all the while. */
private const val SILENCE_AFTER_OUTAGE_MS = 3_500L
private const val WORKERS = 6
private const val TASKS = 24
private const val RESTARTS = 6
private const val GIVEN_UP_WITHIN_MS = 60_000L
private const val RECOVERY_MS = 30_000L

class RestartedWorkerCrashTest {
    /**
     * Guards against tasks that run twice because their draining worker counted as gone after an outage of the store in
     * which nobody reached it, long before its leases had expired.
     */
    @Tag("known-red")
    @Test
    fun `a draining worker that is silent after an outage of the store keeps its runs`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 51, workerCount = 3)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = DURATION_MS))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.drain("w0")
        delay(STEP_MS)
        simulation.workers.faults.unreachable += "w0"
        simulation.store.faults.isDown = true
        simulation.unlist("w0")
        delay(STEP_MS)
        simulation.store.faults.isDown = false
        delay(SILENCE_AFTER_OUTAGE_MS)
        simulation.workers.faults.unreachable.clear()
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 4 * DURATION_MS))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertEquals(4, simulation.workers.checker.starts)
    }

    internal data class CrashCase(val name: String, val step: StepDescription) {
        override fun toString() = name
    }

    /** Guards against a task that crashes one worker after another, unnoticed because each is back under its id. */
    @ParameterizedTest
    @MethodSource("crashCases")
    internal fun `a task whose crashed workers keep their id is given up`(case: CrashCase) = runTest {
        val simulation = SchedulerSimulation(this, seed = 21, workerCount = WORKERS)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.faults.keepsIdAfterCrash = true
        simulation.workers.faults.crashesItsWorker = { it.jobId == JOB && it.index == 0 }
        simulation.submit(JOB, case.step)
        val isGivenUp = simulation.awaitPhase(JOB, JobPhase.FAILED, GIVEN_UP_WITHIN_MS)
        val crashes = simulation.workers.checker.crashes.values.max()
        assertTrue(isGivenUp && crashes <= 2) { "given up: $isGivenUp, crashes: $crashes" }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against sound tasks that are suspected because all workers restart at once, as after a loss of power. */
    @Test
    fun `no task is suspected when all workers restart at once under their ids`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 61, workerCount = WORKERS)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = TASKS, cores = 2, durationMs = DURATION_MS))
        awaitUntil { simulation.workers.checker.starts == TASKS }
        delay(STEP_MS)
        simulation.workers.ids.toList().forEach {
            simulation.workers.restart(it)
            simulation.workers.announce(it)
        }
        val restartedAtMs = simulation.nowMs()
        awaitUntil(GIVEN_UP_WITHIN_MS) { simulation.workers.checker.starts >= 2 * TASKS }
        val startedAgainMs = simulation.nowMs() - restartedAtMs
        val progress = simulation.store.valueOf(Tables.progressRow(JOB))?.let {
            decodeRow(JobProgress.serializer(), it).getOrNull()
        }
        assertTrue("role" !in progress.toString()) { "all started again after $startedAgainMs ms: $progress" }
        assertTrue(startedAgainMs < 2_000) { "all started again after $startedAgainMs ms" }
    }

    /** Guards against runs that wait for several polls although their worker restarted without them. */
    @Test
    fun `a run that the next incarnation does not have starts again soon`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 62, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = 6, cores = 8, durationMs = DURATION_MS))
        awaitUntil { simulation.workers.checker.starts == 6 }
        delay(STEP_MS)
        simulation.workers.restart("w0")
        simulation.workers.announce("w0")
        val restartedAtMs = simulation.nowMs()
        awaitUntil(GIVEN_UP_WITHIN_MS) { simulation.workers.checker.starts == 8 }
        val startedAgainMs = simulation.nowMs() - restartedAtMs
        assertTrue(startedAgainMs < 1_000) { "started again after $startedAgainMs ms" }
    }

    /** Guards against a task that runs twice because its worker restarts repeatedly while its start is in flight. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `tasks run once while the same workers restart repeatedly`(seed: Long) = runTest {
        val simulation = SchedulerSimulation(this, seed, workerCount = 4)
        val random = simulation.random
        simulation.lead(pollDelayMs = { random.nextLong(60) })
        simulation.awaitRoster()
        repeat(RESTARTS) { restart ->
            simulation.workers.faults.isRestartSilent = random.nextBoolean()
            repeat(10) { number ->
                val id = (restart * 10 + number).toString(16).padStart(16, '0')
                simulation.submit(id, step(replicas = 2, cores = 2, durationMs = random.nextLong(100, 1_500)))
                delay(random.nextLong(1, 60))
            }
            val restarted = simulation.workers.ids.random(random)
            simulation.workers.restart(restarted)
            delay(random.nextLong(3_000))
            simulation.workers.announce(restarted)
        }
        // A task that four crashes have hit is given up, so a job may also have failed; none may hang.
        holdsWithin(RECOVERY_MS) { simulation.openJobs().isEmpty() }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertEquals(emptySet<String>(), simulation.openJobs())
    }

    private fun SchedulerSimulation.openJobs(): Set<String> =
        jobIds.filterTo(HashSet()) { phaseOf(it) != JobPhase.COMPLETED && phaseOf(it) != JobPhase.FAILED }

    companion object {
        @JvmStatic
        fun seeds(): List<Long> = (1L..8L).toList()

        @JvmStatic
        fun crashCases(): List<Any> = listOf(
            CrashCase("a single task", step(replicas = 1, cores = 2, durationMs = 800)),
            CrashCase("a service task", step(replicas = 1, cores = 2, durationMs = 800).copy(isService = true)),
        )
    }
}
