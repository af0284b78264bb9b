/**
 * Orders of events after which a task must not run a second time: what a leader does not know may still run.
 *
 * Time is virtual. Where a fault has to last, or a wrong start has to have had its chance, no condition ends the wait.
 */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

private const val JOB = "00000000000000aa"
private const val RUN_MS = 14_000L

/** An outage in which an entry expires, and the time after it in which the entry may come back. */
private const val OUTAGE_MS = 1_000L
private const val RELISTING_MS = 4_000L

/** Shorter than the leases of a worker that does not answer. */
private const val SILENCE_MS = 2_000L

/** Longer than the leases that a dead leader would have left. */
private const val LONG_RECOVERY_MS = 8_000L

/** Polls after which a report has been taken in. */
private const val POLLS = 3

/** Virtual time in which a wrong start would occur; the test checks that none does. */
private const val OBSERVATION_MS = 5_000L
private const val SHORT_OBSERVATION_MS = 1_000L

/** The journal stores at most 90 jobs in one transaction. */
private const val JOBS_BEYOND_A_BATCH = 120

class DuplicateRunTest {
    /** Guards against one lost answer that proves a draining worker gone whose entry expired in an outage. */
    @Test
    fun `a draining worker that does not answer once keeps its runs until its leases have expired`() = runTest {
        val simulation = simulationWithOneRunOnW0()
        simulation.workers.drain("w0")
        delay(500)
        simulation.store.faults.isDown = true
        delay(300)
        simulation.unlist("w0")
        delay(OUTAGE_MS)
        simulation.store.faults.isDown = false
        delay(RELISTING_MS)
        simulation.workers.faults.unreachable += "w0"
        delay(SILENCE_MS)
        simulation.workers.faults.unreachable.clear()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against a leader without the store that takes a lease for expired which another leader has renewed. */
    @Test
    fun `a leader that is cut off from the store starts nothing of a worker that the next leader renews`() = runTest {
        val simulation = simulationWithOneRunOnW0()
        simulation.store.faults.refusedCallers += "leader-1"
        simulation.workers.faults.unreachableFrom["leader-1"] = setOf("w0")
        simulation.workers.faults.unreachableFrom["leader-2"] = setOf("w1")
        simulation.lead()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /**
     * Guards against a takeover whose reading of the store outlasts the leases of a leader that was dead: the former
     * leader is alive, and no worker has heard of the new one yet.
     */
    @Test
    fun `a new leader whose recovery takes long waits for the workers' reports`() = runTest {
        val simulation = simulationWithOneRunOnW0()
        simulation.store.faults.refusedCallers += "leader-1"
        simulation.store.faults.silentPartitions["leader-2"] = setOf("7")
        simulation.lead(pollDelayMs = { if (it == "w0") 300 else 0 })
        delay(LONG_RECOVERY_MS)
        simulation.store.faults.silentPartitions.clear()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against a leader that takes the leases for expired which a former leader goes on renewing. */
    @Test
    fun `a new leader starts nothing of a worker whose leases a former leader without the store renews`() = runTest {
        val simulation = simulationWithOneRunOnW0()
        simulation.store.faults.refusedCallers += "leader-1"
        simulation.workers.faults.unreachableFrom["leader-2"] = setOf("w0")
        simulation.lead()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against a report with entries that cannot be decoded which counts as all that the worker runs. */
    @Test
    fun `a new leader does not take a report that is not whole for complete`() = runTest {
        val simulation = simulationWithOneRunOnW0()
        simulation.workers.faults.malformedReports += "w0"
        simulation.unlist("w0")
        simulation.stopLeader()
        val polls = simulation.pollsOfW0()
        simulation.lead()
        awaitUntil { simulation.pollsOfW0() >= polls + POLLS }
        simulation.workers.faults.malformedReports.clear()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against a report with the most ends that fit which counts as all that the worker has ended. */
    @Test
    fun `a new leader waits for the ends that do not fit in the first report`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 23, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, smallTasks(replicas = 1_200, durationMs = 500))
        awaitUntil { simulation.workers.checker.starts == 1_200 }
        simulation.stopLeader()
        awaitUntil { simulation.workers.checker.runningCount == 0 }
        simulation.lead()
        delay(OBSERVATION_MS)
        assertNoViolations(simulation)
        assertEquals(1_200, simulation.workers.checker.starts)
    }

    /**
     * Guards against a roster that is stored before the ends which it leaves out: it says that an unreachable worker
     * has no run of a job whose end is in a later batch.
     */
    @Test
    fun `the stored roster names a worker's jobs until their ends are stored`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 24, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, smallTasks(replicas = 1, durationMs = 3_000))
        awaitUntil { simulation.workers.checker.starts == 1 }
        simulation.workers.boot("w1")
        simulation.awaitRoster()
        repeat(JOBS_BEYOND_A_BATCH) { simulation.submit("$it".padStart(16, '0'), smallTasks(1, durationMs = 500)) }
        awaitUntil { simulation.workers.checker.starts == 1 + JOBS_BEYOND_A_BATCH }
        simulation.store.faults.isDown = true
        awaitUntil { simulation.workers.checker.runningCount == 0 }
        delay(100)
        simulation.workers.faults.unreachable += "w0"
        delay(800)
        val rosterVersion = simulation.rosterVersion()
        simulation.store.faults.latencyMs = 300
        simulation.store.faults.isDown = false
        awaitUntil { simulation.rosterVersion() != rosterVersion }
        // The first batch is stored with the roster, the second one is not.
        simulation.stopLeader()
        simulation.store.faults.latencyMs = 4
        simulation.lead()
        delay(SHORT_OBSERVATION_MS)
        simulation.workers.faults.unreachable.clear()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against a draining worker that counts as gone, with runs that the new leader does not know yet. */
    @Test
    fun `a new leader waits for a draining worker that is unlisted before its first report`() = runTest {
        val simulation = simulationWithOneRunOnW0()
        val rosterVersion = simulation.rosterVersion()
        simulation.workers.drain("w0")
        awaitUntil { simulation.rosterVersion() != rosterVersion }
        simulation.stopLeader()
        simulation.lead(pollDelayMs = { if (it == "w0") 600 else 0 })
        delay(100)
        simulation.unlist("w0")
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /**
     * Guards against runs that a former leader started on a worker under its id after it had restarted: the new leader
     * must not start their tasks before the worker's current incarnation has reported.
     */
    @ParameterizedTest
    @ValueSource(booleans = [false, true])
    fun `a new leader waits for the successor of a former worker`(isAnnounced: Boolean) = runTest {
        val simulation = SchedulerSimulation(this, seed = 26, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.faults.isRestartSilent = true
        val polls = simulation.pollsOfW0()
        awaitUntil { simulation.pollsOfW0() > polls }
        simulation.workers.restart("w0")
        simulation.submit(JOB, step(replicas = 1, cores = 8, durationMs = RUN_MS))
        awaitUntil { simulation.workers.checker.starts == 1 }
        simulation.workers.boot("w1")
        simulation.awaitRoster()
        simulation.stopLeader()
        simulation.lead(pollDelayMs = { if (it == "w0") 300 else 0 })
        delay(100)
        if (isAnnounced) simulation.workers.announce("w0")
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    /** Guards against the end of a job that cannot be decoded yet, which is acknowledged without being recorded. */
    @Test
    fun `an end of a job that is set aside is not acknowledged`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 25, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = 1, cores = 8, durationMs = 3_000))
        awaitUntil { simulation.workers.checker.starts == 1 }
        simulation.stopLeader()
        simulation.store.put(Tables.progressRow(JOB), "not a progress row".toByteArray())
        simulation.lead()
        awaitUntil { simulation.workers.checker.runningCount == 0 }
        val polls = simulation.pollsOfW0()
        awaitUntil { simulation.pollsOfW0() >= polls + POLLS }
        simulation.stopLeader()
        simulation.store.put(Tables.progressRow(JOB), null)
        simulation.lead()
        delay(RUN_MS)
        assertNoViolations(simulation)
    }

    private fun SchedulerSimulation.pollsOfW0(): Int = workers.polls["w0"] ?: 0

    private fun SchedulerSimulation.rosterVersion() =
        store.rowsOf(Tables.LEADER_STATE).first { it.id == Tables.ROSTER_ROW }.version

    private fun smallTasks(replicas: Int, durationMs: Long) =
        step(replicas, cores = 0, durationMs).let { it.copy(size = it.size.copy(memoryBytes = 1)) }

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

    private fun assertNoViolations(simulation: SchedulerSimulation) =
        assertEquals(emptyList<String>(), simulation.workers.checker.violations.take(3))
}
