/** Leases without the store: they go on in an outage for all, and end where a successor may act. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.minutes

private const val JOB = "00000000000000aa"

/** Several times the longest lease. */
private const val OUTAGE_MS = 40_000L
private const val RUN_MS = 50_000L
private const val END_WITHIN_MS = 90_000L

/** Longer than a successor waits for the leases of a worker that it does not reach. */
private const val FORMER_LEASES_MS = 14_000L

class OutageLeaseTest {
    /** A loss of the leader's calls to the store, and how often the task starts in all. */
    internal data class Case(val name: String, val starts: Int, val begin: SchedulerSimulation.() -> Unit) {
        override fun toString() = name
    }

    /** Guards against work that lapses in an outage of the store, and against leases without a majority. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a run outlives an outage if a majority votes for its leader`(case: Case) =
        runTest(timeout = 2.minutes) {
            val simulation = simulationWithOneRun()
            case.begin(simulation)
            delay(OUTAGE_MS)
            simulation.store.faults.isDown = false
            simulation.endCut()
            assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, END_WITHIN_MS))
            assertEquals(case.starts, simulation.workers.checker.starts)
            assertNoViolations(simulation)
        }

    /** Guards against a leader whose clock stands still while its machine is suspended, so that old votes seem new. */
    @Test
    fun `a leader that was suspended in a cut grants no lease by its former votes`() = runTest {
        val simulation = simulationWithOneRun()
        simulation.cutOff("leader-1", workers = setOf("w0"))
        delay(1_000)
        simulation.suspendLeader(4_000)
        simulation.lead()
        delay(FORMER_LEASES_MS)
        simulation.endCut()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against a successor that takes leases for over which a former leader renews by a majority. */
    @Test
    fun `a successor without a majority waits with the tasks of workers that it does not reach`() = runTest {
        val simulation = simulationWithOneRun()
        simulation.workers.faults.unreachableFrom["leader-2"] = setOf("w0")
        simulation.voters.cutOff += "leader-2"
        simulation.store.faults.refusedCallers += "leader-1"
        simulation.voters.blindToStore()
        simulation.lead()
        delay(2 * FORMER_LEASES_MS)
        assertEquals(1, simulation.workers.checker.starts)
        simulation.endCut()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against a voter that starts again, forgets its promise and votes for the former leader. */
    @Test
    fun `voters that start again do not vote before they have read the store`() = runTest {
        val simulation = simulationWithOneRun()
        simulation.cutOff("leader-1", workers = setOf("w0"))
        simulation.lead()
        delay(2_000)
        simulation.voters.cutOff.clear()
        simulation.voters.blindToStore()
        simulation.voters.restartAll()
        delay(FORMER_LEASES_MS)
        simulation.endCut()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    private suspend fun TestScope.simulationWithOneRun(): SchedulerSimulation {
        val simulation = SchedulerSimulation(this, seed = 31, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = 1, cores = 8, durationMs = RUN_MS))
        awaitUntil { simulation.workers.checker.starts == 1 }
        simulation.workers.boot("w1")
        simulation.awaitRoster()
        delay(1_000)
        return simulation
    }

    private fun assertNoViolations(simulation: SchedulerSimulation) =
        assertEquals(emptyList<String>(), simulation.workers.checker.violations.take(3))

    companion object {
        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("the store is down for all", starts = 1) { store.faults.isDown = true },
            Case("the store turns the leader away", starts = 1) { store.faults.refusedCallers += "leader-1" },
            Case("one of three voters is lost as well", starts = 1) {
                store.faults.isDown = true
                voters.cutOff += "voter-1"
            },
            Case("one of them has started again", starts = 1) {
                store.faults.isDown = true
                voters.restart("voter-1")
            },
            Case("most voters are lost", starts = 2) {
                store.faults.isDown = true
                voters.cutOff += listOf("voter-1", "voter-2")
            },
            Case("most voters have started again", starts = 2) {
                store.faults.isDown = true
                voters.restartAll()
            },
        )
    }
}
