/** Processes that are lost for good together with workers: tasks start elsewhere in seconds, and none runs twice. */
package dev.bronzeshore.server.cluster

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.minutes

private const val JOB = "00000000000000aa"
private const val RUN_MS = 60_000L
private const val HEARTBEAT_PERIOD_MS = 450L
private const val SLOW_POLL_MS = 4_000L

/** Longest lease, the time for which votes of workers hold, and margins. */
private const val LEASES_OVER_MS = 16_000L

class LostVotersTest {
    /** [lost] voters and all leaders but the last one do not come back; each next leader follows after a pause. */
    internal data class Case(
        val name: String,
        val workers: Int,
        val lost: Int,
        val lostWorkers: Int = 1,
        val leaders: List<Long> = listOf(1_000),
        val prepare: suspend SchedulerSimulation.() -> Unit = {},
    ) {
        override fun toString() = name
    }

    /** Guards against tasks of a lost worker that wait for the promises of processes that are lost as well. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `tasks of a lost worker start elsewhere although most voters are lost`(case: Case) =
        runTest(timeout = 2.minutes) {
            val simulation = simulationWithRuns(case.workers)
            case.prepare(simulation)
            simulation.voters.lose(case.lost)
            simulation.stopLeader()
            repeat(case.lostWorkers) { simulation.workers.crash("w$it") }
            for (pauseMs in case.leaders) {
                delay(pauseMs)
                simulation.stopLeader()
                simulation.lead()
            }
            awaitUntil(withinMs = LEASES_OVER_MS) {
                simulation.workers.checker.starts == case.workers + case.lostWorkers
            }
            assertNoViolations(simulation)
        }

    /** Guards against a former leader that goes on with the votes of all processes but those of few workers. */
    @ParameterizedTest
    @CsvSource("1", "2")
    fun `tasks run once while the former leader is cut off with all voters and some workers`(cutOffWorkers: Int) =
        runTest(timeout = 2.minutes) {
            val simulation = simulationWithRuns(workers = 5)
            simulation.cutOffWithVoters(workers = List(cutOffWorkers) { "w$it" }.toSet())
            simulation.lead()
            awaitUntil(withinMs = LEASES_OVER_MS) { simulation.workers.checker.starts == 5 + cutOffWorkers }
            simulation.endCut()
            delay(RUN_MS)
            assertNoViolations(simulation)
        }

    /** Guards against a successor that goes on without the workers with which its predecessor keeps a majority. */
    @ParameterizedTest
    @CsvSource("1", "3")
    fun `a former leader with most voters and most workers keeps its tasks`(beyondHalf: Int) =
        runTest(timeout = 2.minutes) {
            val simulation = simulationWithRuns(workers = 5)
            simulation.cutOffWithVoters(workers = simulation.workers.ids.take(5 + beyondHalf).toSet())
            simulation.lead()
            delay(2 * LEASES_OVER_MS)
            assertEquals(5, simulation.workers.checker.starts)
            simulation.endCut()
            delay(RUN_MS)
            assertNoViolations(simulation)
        }

    /** Starts one task on each worker; afterwards there are as many idle workers. */
    private suspend fun TestScope.simulationWithRuns(workers: Int): SchedulerSimulation {
        val simulation = SchedulerSimulation(this, seed = 54, workerCount = workers)
        simulation.lead()
        backgroundScope.launch {
            while (true) {
                simulation.voters.confirmTermOf(simulation.leaderName)
                delay(HEARTBEAT_PERIOD_MS)
            }
        }
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = workers, cores = 16, durationMs = RUN_MS))
        awaitUntil { simulation.workers.checker.starts == workers }
        repeat(workers) { simulation.workers.boot("idle-$it") }
        simulation.awaitRoster()
        delay(1_000)
        return simulation
    }

    private fun SchedulerSimulation.cutOffWithVoters(workers: Set<String>) {
        cutOff(leaderName, workers)
        voters.cutOff += voters.names
        voters.blindToStore()
    }

    private fun assertNoViolations(simulation: SchedulerSimulation) =
        assertEquals(emptyList<String>(), simulation.workers.checker.violations.take(3))

    companion object {
        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("two of three voters", workers = 8, lost = 2),
            Case("all voters", workers = 8, lost = 3),
            Case("all voters, and three of eight workers", workers = 8, lost = 3, lostWorkers = 3),
            Case("all voters, and one of three workers", workers = 3, lost = 3),
            Case("the first replacements are lost again", workers = 8, lost = 3, leaders = listOf(1_000, 2_000)),
            Case("all voters soon after a takeover", workers = 8, lost = 3) {
                stopLeader()
                lead(pollDelayMs = { SLOW_POLL_MS })
                delay(SLOW_POLL_MS / 2)
            },
            Case("all voters while other workers start again", workers = 8, lost = 3) {
                workers.restart("idle-6")
                workers.restart("idle-7")
            },
        )
    }
}
