/** Tasks that crash each worker which starts them, among jobs that do not; see docs/incidents/0005. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.StepDescription
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource

private const val CRASHING_JOB = "00000000000000dd"
private const val OTHER_JOBS = 12

/** A worker is back three seconds after its crash; its end, and a takeover, are noticed within this time. */
private const val MAX_CYCLE_MS = 6_000L

/** Virtual time in which the given-up task must not start again. */
private const val OBSERVATION_MS = 12_000L

/** The users' platform allows three crashes by a task, and two more starts. */
private const val MOST_CRASHES = 5

private const val MIXED_WORKERS = 10
private const val MIXED_JOBS = 60
private const val MIXED_SEEDS = 4L
private const val CRASHES_ONE_IN = 12

/** A tenth of the jobs has a task that crashes its workers. */
private const val CRASHING_ONE_IN = 10
private const val RECOVERY_MS = 40_000L

class CrashingTaskTest {
    internal data class CrashCase(
        val name: String,
        val step: StepDescription,
        val maxCrashes: Int = 2,
        val arrange: SchedulerSimulation.() -> Unit = {},
        val duringRun: suspend SchedulerSimulation.() -> Unit = {},
    ) {
        override fun toString() = name
    }

    /**
     * Guards against a task that starts on one worker after another and crashes all of them, because runs that are lost
     * with their worker do not count.
     */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a task that crashes its workers is given up, and jobs beside it complete`(case: CrashCase) = runTest {
        val simulation = startWithCrashingJob(case)
        case.duringRun(simulation)
        assertTrue(simulation.awaitPhase(CRASHING_JOB, JobPhase.FAILED, case.maxCrashes * MAX_CYCLE_MS))
        delay(OBSERVATION_MS)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertTrue(simulation.workers.checker.crashes.values.max() <= case.maxCrashes)
        val others = (simulation.jobIds - CRASHING_JOB).groupingBy { simulation.phaseOf(it) }.eachCount()
        assertEquals(mapOf(JobPhase.COMPLETED to OTHER_JOBS), others)
    }

    internal data class MixedCase(
        val name: String,
        val seed: Long,
        val inject: suspend SchedulerSimulation.() -> Unit,
    ) {
        override fun toString() = "$name, seed $seed"
    }

    /** Guards against jobs that are given up because their workers crash for another reason, or with another task. */
    @ParameterizedTest
    @MethodSource("mixedCases")
    internal fun `only tasks that crash their workers are given up`(case: MixedCase) = runTest {
        val simulation = SchedulerSimulation(this, case.seed, workerCount = MIXED_WORKERS)
        simulation.workers.faults.crashesItsWorker = { it.jobId in simulation.crashingJobs && it.index == 0 }
        simulation.lead()
        repeat(MIXED_JOBS) { number ->
            simulation.submit(number.toString(16).padStart(16, '0'), step(simulation.random.nextInt(1, 6), 2, 1_200))
            delay(simulation.random.nextLong(50, 400))
            if (simulation.random.nextInt(CRASHES_ONE_IN) == 0) case.inject(simulation)
        }
        delay(RECOVERY_MS)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        val failed = simulation.jobIds.filterTo(HashSet()) { simulation.phaseOf(it) == JobPhase.FAILED }
        assertEquals(simulation.crashingJobs, failed)
        val others = (simulation.jobIds - failed).mapTo(HashSet()) { simulation.phaseOf(it) }
        assertEquals(setOf(JobPhase.COMPLETED), others)
    }

    /** Guards against a sound task that is given up because of crashes of workers which never ran it. */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a task whose workers crash before its start arrives is not given up`(isGang: Boolean) = runTest {
        val simulation = SchedulerSimulation(this, seed = 22, workerCount = 6)
        simulation.lead()
        simulation.awaitRoster()
        var crashes = 0
        simulation.workers.faults.crashesBeforeStart = { it.index == 0 && crashes++ < 2 }
        simulation.submit(CRASHING_JOB, step(replicas = 3, cores = 2, durationMs = 800, isGang = isGang))
        assertTrue(simulation.awaitPhase(CRASHING_JOB, JobPhase.COMPLETED, RECOVERY_MS))
        assertTrue(crashes > 2)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    private suspend fun TestScope.startWithCrashingJob(case: CrashCase): SchedulerSimulation {
        val simulation = SchedulerSimulation(this, seed = 21, workerCount = 6)
        simulation.lead()
        simulation.awaitRoster()
        case.arrange(simulation)
        simulation.workers.faults.crashesItsWorker = { it.jobId == CRASHING_JOB && it.index == 0 }
        repeat(OTHER_JOBS) { simulation.submit(it.toString(16).padStart(16, '0'), step(3, 2, 1_500)) }
        simulation.submit(CRASHING_JOB, case.step)
        return simulation
    }

    companion object {
        private val MIXED_FAULTS = listOf<Pair<String, suspend SchedulerSimulation.() -> Unit>>(
            "no other fault" to {},
            "workers that crash" to { workers.crashAndReplace(workers.ids.random(random)) },
            "half of the workers crash at once" to {
                workers.ids.shuffled(random).take(MIXED_WORKERS / 2).forEach(workers::crashAndReplace)
            },
            "takeovers" to {
                stopLeader()
                lead()
            },
            "lost store responses" to { store.faults.lostResponseShare = 0.2 },
        )

        @JvmStatic
        fun mixedCases(): List<Any> =
            MIXED_FAULTS.flatMap { (name, inject) -> (1L..MIXED_SEEDS).map { MixedCase(name, it, inject) } }

        @JvmStatic
        fun cases(): List<Any> = listOf(
            CrashCase("a single task", step(replicas = 1, cores = 2, durationMs = 800)),
            CrashCase("one of many tasks", step(replicas = 8, cores = 2, durationMs = 800)),
            CrashCase("a member of a gang", step(replicas = 8, cores = 2, durationMs = 800, isGang = true)),
            CrashCase(
                "a service task",
                step(replicas = 2, cores = 2, durationMs = 800).copy(isService = true),
            ),
            CrashCase(
                "crashes that are noticed late",
                step(replicas = 3, cores = 2, durationMs = 800),
                maxCrashes = MOST_CRASHES,
                arrange = { workers.faults.isCrashSilent = true },
            ),
            CrashCase(
                "crashes some time after the start",
                step(replicas = 3, cores = 2, durationMs = 1_500),
                maxCrashes = MOST_CRASHES,
                arrange = { workers.faults.crashDelayMs = 700 },
            ),
            CrashCase(
                "after a worker has crashed on its own",
                step(replicas = 3, cores = 2, durationMs = 800),
                maxCrashes = 3,
                arrange = { workers.crashAndReplace(workers.ids.last()) },
            ),
            CrashCase(
                "lost store responses",
                step(replicas = 3, cores = 2, durationMs = 800),
                maxCrashes = MOST_CRASHES,
                arrange = { store.faults.lostResponseShare = 0.3 },
            ),
            CrashCase(
                "a takeover after each of the first two crashes",
                step(replicas = 3, cores = 2, durationMs = 800),
                maxCrashes = MOST_CRASHES,
                duringRun = { repeat(2) { takeOverAfterCrash(it + 1) } },
            ),
        )
    }
}

private suspend fun SchedulerSimulation.takeOverAfterCrash(number: Int) {
    awaitUntil { workers.checker.crashes.values.any { it == number } }
    stopLeader()
    lead()
}

private val SchedulerSimulation.crashingJobs: Set<String>
    get() = jobIds.filterTo(HashSet()) { it.toLong(radix = 16) % CRASHING_ONE_IN == 1L }
