/** Tasks that crash each worker which starts them, among jobs that do not; see docs/incidents/0005. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.StepDescription
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val CRASHING_JOB = "00000000000000dd"
private const val OTHER_JOBS = 12

/** A worker is back three seconds after its crash; two crashes and the time to notice them fit into this. */
private const val GIVEN_UP_WITHIN_MS = 12_000L

class CrashingTaskTest {
    internal data class CrashCase(
        val name: String,
        val step: StepDescription,
        val crashDelayMs: Long = 10,
        val maxCrashes: Int = 2,
        val duringRun: suspend SchedulerSimulation.() -> Unit = {},
    ) {
        override fun toString() = name
    }

    /**
     * Guards against a task that starts on one worker after another and crashes all of them, because runs that are lost
     * with their worker do not count.
     */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a task that crashes its workers is given up, and jobs beside it complete`(case: CrashCase) = runTest {
        val simulation = startWithCrashingJob(case)
        case.duringRun(simulation)
        assertTrue(simulation.awaitPhase(CRASHING_JOB, JobPhase.FAILED, GIVEN_UP_WITHIN_MS))
        delay(GIVEN_UP_WITHIN_MS)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertTrue(simulation.workers.checker.crashes.values.max() <= case.maxCrashes)
        val others = (simulation.jobIds - CRASHING_JOB).groupingBy { simulation.phaseOf(it) }.eachCount()
        assertEquals(mapOf(JobPhase.COMPLETED to OTHER_JOBS), others)
    }

    private suspend fun TestScope.startWithCrashingJob(case: CrashCase): SchedulerSimulation {
        val simulation = SchedulerSimulation(this, seed = 21, workerCount = 6)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.faults.crashDelayMs = case.crashDelayMs
        simulation.workers.faults.crashesItsWorker = { it.jobId == CRASHING_JOB && it.index == 0 }
        repeat(OTHER_JOBS) { simulation.submit(it.toString(16).padStart(16, '0'), step(3, 2, 1_500)) }
        simulation.submit(CRASHING_JOB, case.step)
        return simulation
    }

    companion object {
        @JvmStatic
        fun cases(): List<Any> = listOf(
            CrashCase("a single task", step(replicas = 1, cores = 2, durationMs = 800)),
            CrashCase("one of many tasks", step(replicas = 8, cores = 2, durationMs = 800)),
            CrashCase("a member of a gang", step(replicas = 8, cores = 2, durationMs = 800, isGang = true)),
            CrashCase(
                "a service task",
                step(replicas = 2, cores = 2, durationMs = 800).copy(isService = true),
            ),
        )
    }
}
