/** Takeovers: state that a new leader reads from workers and store, and a former leader that keeps running. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.standins.cluster.MAX_LEASE_MS
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val JOB = "00000000000000aa"

/** Virtual time in which a wrong start would occur; the test checks that none does, so no condition ends the wait. */
private const val OBSERVATION_MS = 3_000L

class TakeoverTest {
    /** Guards against failed runs that are not all counted when a new leader learns of them in any order. */
    @Test
    fun `failed runs are counted across a takeover`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 4, workerCount = 3)
        simulation.lead()
        simulation.workers.faults.failing += simulation.workers.ids
        simulation.submit(JOB, step(replicas = 1, cores = 1, durationMs = 1_000), attempts = 3)
        awaitUntil { simulation.workers.checker.starts == 1 }
        // No end can be acknowledged while the store is down, so the next leader learns of all failures at once.
        simulation.store.faults.isDown = true
        awaitUntil { simulation.workers.checker.starts == 3 && simulation.workers.checker.runningCount == 0 }
        simulation.stopLeader()
        simulation.store.faults.isDown = false
        // The attempts ran on w0, w1 and w2, so the next leader learns of the newest failure first.
        simulation.lead(pollDelayMs = { id -> if (id == "w2") 0 else 300 - 100L * id.drop(1).toLong() })
        assertTrue(simulation.awaitPhase(JOB, JobPhase.FAILED, withinMs = 10_000))
        assertEquals(3, simulation.workers.checker.starts)
    }

    /** Guards against a takeover after which all older jobs wait for an unreachable worker whose jobs are known. */
    @Test
    fun `an unreachable worker delays only the jobs that may run there after a takeover`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 6, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        val rosterVersion = simulation.rosterVersion()
        simulation.workers.faults.unreachable += "w0"
        awaitUntil { simulation.rosterVersion() != rosterVersion }
        simulation.submit(JOB, step(replicas = 1, cores = 1, durationMs = 300))
        simulation.stopLeader()
        simulation.lead()
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 2_000))
    }

    /**
     * Guards against a mass kill after which nothing starts: one worker that has crashed together with the leader kept
     * all jobs waiting until its leases had expired, also those that no former leader can have started.
     */
    @Test
    fun `a job that is stored after a takeover does not wait for a lost worker`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 16, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.crash("w0")
        simulation.stopLeader()
        simulation.lead()
        simulation.submit(JOB, step(replicas = 4, cores = 4, durationMs = 300))
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 2_000))
    }

    /**
     * Guards against a takeover in a slow period of the store that takes seconds, because the partitions of the
     * accepted jobs are read almost one after another.
     */
    @Test
    fun `a new leader starts tasks within two seconds while the store is slow`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 19, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.stopLeader()
        simulation.store.faults.latencyMs = 300
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        simulation.lead()
        awaitUntil(withinMs = 2_000) { simulation.workers.checker.starts == 2 }
    }

    /** Guards against jobs that wait after a takeover for a worker which took nothing new because it was draining. */
    @Test
    fun `a draining worker that leaves during a takeover delays only its own jobs`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 17, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        val rosterVersion = simulation.rosterVersion()
        simulation.workers.drain("w0")
        awaitUntil { simulation.rosterVersion() != rosterVersion }
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        simulation.stopLeader()
        simulation.workers.crash("w0")
        simulation.lead()
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 2_000))
    }

    /** Guards against a former leader that starts a job which was stored after it had been replaced. */
    @Test
    fun `a leader without a confirmed write starts no new job`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 18, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.store.faults.latencyMs = OBSERVATION_MS
        simulation.submit(JOB, step(replicas = 1, cores = 4, durationMs = 300))
        delay(OBSERVATION_MS)
        assertEquals(0, simulation.workers.checker.starts)
        simulation.store.faults.latencyMs = 4
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 4 * OBSERVATION_MS))
    }

    /** Guards against a new job that runs twice because a former leader, unaware of the takeover, starts it as well. */
    @Test
    fun `a job that two leaders read runs once`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 7, workerCount = 4)
        simulation.lead()
        simulation.awaitRoster()
        simulation.lead(pollDelayMs = { if (it == "w0") 800 else 0 })
        simulation.submit(JOB, step(replicas = 12, cores = 4, durationMs = 1_500))
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 12_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    data class EarlyRun(val name: String, val durationMs: Long, val pollDelayMs: Long) {
        override fun toString() = name
    }

    /**
     * Guards against a task that runs twice because a new leader learns of its run from a worker before the change
     * feed delivers the job: the run was stopped and started elsewhere at once, or its end was acknowledged without
     * being recorded.
     */
    @ParameterizedTest
    @MethodSource("earlyRuns")
    fun `a job that a worker reports before the change feed runs once`(case: EarlyRun) = runTest {
        val simulation = SchedulerSimulation(this, seed = 8, workerCount = 4)
        simulation.lead()
        simulation.awaitRoster()
        simulation.store.faults.feedDelayMs["leader-2"] = 900
        var hasPolledWorkers = false
        simulation.lead(
            pollDelayMs = {
                hasPolledWorkers = true
                case.pollDelayMs
            },
        )
        awaitUntil { hasPolledWorkers }
        simulation.submit(JOB, step(replicas = 6, cores = 4, durationMs = case.durationMs))
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 12_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertEquals(6, simulation.workers.checker.starts)
    }

    /**
     * Guards against a roster that is treated as not stored because its write got no response: it said that an
     * unreachable worker had no jobs, and a later leader started tasks of that worker elsewhere, so they ran twice.
     */
    @Test
    fun `a roster write without a response counts as stored`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 9, workerCount = 2)
        var polls = 0
        simulation.lead(
            pollDelayMs = {
                if (it == "w0") polls++
                0
            },
        )
        simulation.awaitRoster()
        simulation.store.faults.lostResponseShare = 1.0
        val rosterVersion = simulation.rosterVersion()
        simulation.workers.faults.unreachable += "w0"
        awaitUntil { simulation.rosterVersion() != rosterVersion }
        simulation.workers.faults.unreachable.clear()
        // Store responses are lost until the worker has answered a poll: only then does a second one from here begin.
        val pollsBefore = polls
        awaitUntil { polls == pollsBefore + 2 }
        simulation.store.faults.lostResponseShare = 0.0
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = 6_000))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.faults.unreachable += "w0"
        simulation.stopLeader()
        simulation.workers.boot("w2")
        simulation.lead()
        delay(OBSERVATION_MS)
        simulation.workers.faults.unreachable.clear()
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 12_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against tasks that run twice because a late write without a response overwrites newer progress. */
    @Test
    fun `a late journal write does not overwrite a newer one`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 14, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300), step(1, 4, 500, after = listOf(0)))
        awaitUntil { simulation.workers.checker.starts == 2 }
        simulation.store.faults.lostWriteDelayMs = 3_000
        simulation.store.faults.lostResponseShare = 1.0
        awaitUntil { simulation.workers.checker.starts == 3 && "lost" in simulation.store.calls }
        simulation.store.faults.lostResponseShare = 0.0
        awaitUntil { simulation.phaseOf(JOB) == JobPhase.COMPLETED }
        delay(2 * simulation.store.faults.lostWriteDelayMs)
        assertEquals(JobPhase.COMPLETED, simulation.phaseOf(JOB))
        simulation.stopLeader()
        simulation.lead()
        delay(OBSERVATION_MS)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against tasks that wait forever for a permanently lost worker, without a takeover. */
    @Test
    fun `tasks of a lost worker start elsewhere once its leases have expired`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 13, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 4, cores = 8, durationMs = 2_000))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.crash("w0")
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 2 * MAX_LEASE_MS))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against takeovers that read all jobs including ended ones, and against an ended job that starts again. */
    @Test
    fun `a takeover reads open jobs only, and a resubmitted ended job does not start`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 10, workerCount = 2)
        simulation.lead()
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        awaitUntil { simulation.phaseOf(JOB) == JobPhase.COMPLETED }
        awaitUntil { simulation.store.rowsOf(Tables.INTAKE).all { IntakeRows.isFence(it.id) } }
        simulation.stopLeader()
        simulation.lead()
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        delay(OBSERVATION_MS)
        assertEquals(JobPhase.COMPLETED, simulation.phaseOf(JOB))
        assertEquals(2, simulation.workers.checker.starts)
    }

    private fun SchedulerSimulation.rosterVersion() = store.rowsOf(Tables.LEADER_STATE).first {
        it.id == Tables.ROSTER_ROW
    }.version

    companion object {
        @JvmStatic
        fun earlyRuns(): List<EarlyRun> = listOf(
            EarlyRun("the run is still active at the poll", durationMs = 1_500, pollDelayMs = 200),
            EarlyRun("the run has ended by the poll", durationMs = 100, pollDelayMs = 400),
        )
    }
}
