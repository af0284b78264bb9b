/** Leaders that take leases for expired although another leader may have renewed them. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.standins.cluster.MAX_LEASE_MS
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

private const val JOB = "00000000000000aa"
private const val RUN_MS = 14_000L

/** The leader notices the loss with a poll of 2.2 s; the leases last on a slow clock, and a margin is added. */
private const val EXPIRY_MS = MAX_LEASE_MS + 3_500

class ExpiredLeaseTest {
    /** Guards against a leader without the store that takes a lease for expired which another leader has renewed. */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a leader that is cut off from the store starts nothing of a worker that the next leader renews`(
        isListed: Boolean,
    ) = runTest {
        val simulation = simulationWithOneRunOnW0()
        if (!isListed) simulation.unlist("w0")
        simulation.store.faults.refusedCallers += "leader-1"
        simulation.workers.faults.unreachableFrom["leader-1"] = setOf("w0")
        simulation.workers.faults.unreachableFrom["leader-2"] = setOf("w1")
        simulation.lead()
        delay(RUN_MS)
        assertStarts(simulation, 1)
    }

    /** Guards against the same leader after a takeover: it has never reached the worker on which an older run is. */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a new leader that is cut off from the store starts nothing of a worker that the next leader renews`(
        isListed: Boolean,
    ) = runTest {
        val simulation = simulationWithOneRunOnW0()
        if (!isListed) simulation.unlist("w0")
        simulation.stopLeader()
        simulation.workers.faults.unreachableFrom["leader-2"] = setOf("w0")
        simulation.workers.faults.unreachableFrom["leader-3"] = setOf("w1")
        simulation.lead()
        delay(1_000)
        simulation.store.faults.refusedCallers += "leader-2"
        simulation.lead()
        delay(RUN_MS)
        assertStarts(simulation, 1)
    }

    /** Guards against tasks of a lost worker that wait although the leader can write to the partitions of the jobs. */
    @Test
    fun `tasks of a lost worker start again while the leader's partition is silent`() = runTest {
        val simulation = simulationWithOneRunOnW0()
        simulation.store.faults.silentPartitions["leader-1"] = setOf(Tables.LEADER_PARTITION)
        simulation.workers.crash("w0")
        awaitUntil(withinMs = EXPIRY_MS) { simulation.workers.checker.starts == 2 }
        assertStarts(simulation, 2)
    }

    /** The run of [JOB] is on w0; w1, which starts later, is on the stored roster. */
    private suspend fun TestScope.simulationWithOneRunOnW0(): SchedulerSimulation {
        val simulation = SchedulerSimulation(this, seed = 21, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = 1, cores = 8, durationMs = RUN_MS))
        awaitUntil { simulation.workers.checker.starts == 1 }
        simulation.workers.boot("w1")
        simulation.awaitRoster()
        delay(500)
        return simulation
    }

    private fun assertStarts(simulation: SchedulerSimulation, expected: Int) {
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertEquals(expected, simulation.workers.checker.starts)
    }
}
