/** Patterns of takeovers: what a new leader finds at the workers, in the store, and of a leader that goes on. */
package dev.bronzeshore.server.cluster

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

/** Virtual time in which a wrong start would come: the check is that nothing happens, so no condition ends it. */
private const val NOTHING_HAPPENS_MS = 3_000L

class TakeoverTest {
    /** Guards against failed runs that are trackInFlight short when their ends reach a new leader in any order (BUDGET). */
    @Test
    fun `failed runs count across a takeover`() = runTest {
        val trial = SchedulerSimulation(this, seed = 4, workerCount = 3)
        trial.lead()
        trial.workers.faults.failing += trial.workers.ids
        trial.submit(JOB, step(replicas = 1, cores = 1, durationMs = 1_000), attempts = 3)
        awaitUntil { trial.workers.judge.starts == 1 }
        // No end can be acknowledged while the store is down, so the next leader hears of all failures at once.
        trial.store.faults.isDown = true
        awaitUntil { trial.workers.judge.starts == 3 && trial.workers.judge.runningCount == 0 }
        trial.stopLeader()
        trial.store.faults.isDown = false
        // The workers were tried from w0 on, so the newest failure reaches the next leader first.
        trial.lead(lookDelayMs = { id -> if (id == "w2") 0 else 300 - 100L * id.drop(1).toLong() })
        assertTrue(trial.awaitPhase(JOB, JobPhase.FAILED, withinMs = 10_000))
        assertEquals(3, trial.workers.judge.starts)
    }

    /** Guards against older jobs that all wait for a dark worker after a takeover, though its tasks are known. */
    @Test
    fun `a takeover beside a dark worker holds up only the jobs that may run there`() = runTest {
        val trial = SchedulerSimulation(this, seed = 6, workerCount = 3)
        trial.lead()
        trial.awaitRoster()
        val rosterVersion = trial.rosterVersion()
        trial.workers.faults.cutOff += "w0"
        awaitUntil { trial.rosterVersion() != rosterVersion }
        trial.submit(JOB, step(replicas = 1, cores = 1, durationMs = 300))
        trial.stopLeader()
        trial.lead()
        assertTrue(trial.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 2_000))
    }

    /** Guards against a new job that a former leader, which has not noticed the takeover, starts as well (TWICE). */
    @Test
    fun `a job that two leaders learn of runs once`() = runTest {
        val trial = SchedulerSimulation(this, seed = 7, workerCount = 4)
        trial.lead()
        trial.awaitRoster()
        trial.lead(lookDelayMs = { if (it == "w0") 800 else 0 })
        trial.submit(JOB, step(replicas = 12, cores = 4, durationMs = 1_500))
        assertTrue(trial.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 12_000))
        assertEquals(emptyList<String>(), trial.workers.judge.violations)
    }

    data class FormerStart(val name: String, val durationMs: Long, val lookDelayMs: Long) {
        override fun toString() = name
    }

    /**
     * Guards against a task that runs twice because a new leader hears of its run from a worker before it hears of
     * the job: the run was stopped and started elsewhere at once, or its end was acknowledged without effect (TWICE).
     */
    @ParameterizedTest
    @MethodSource("formerStarts")
    fun `a job that a worker names before the feed runs once`(case: FormerStart) = runTest {
        val trial = SchedulerSimulation(this, seed = 8, workerCount = 4)
        trial.lead()
        trial.awaitRoster()
        trial.store.faults.lateFeedsMs["leader-2"] = 900
        var hasReadTables = false
        trial.lead(
            lookDelayMs = {
                hasReadTables = true
                case.lookDelayMs
            },
        )
        awaitUntil { hasReadTables }
        trial.submit(JOB, step(replicas = 6, cores = 4, durationMs = case.durationMs))
        assertTrue(trial.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 12_000))
        assertEquals(emptyList<String>(), trial.workers.judge.violations)
        assertEquals(6, trial.workers.judge.starts)
    }

    /**
     * Guards against a roster that is taken for not stored because its write got no answer: it said that no job was
     * on a dark worker, and a later leader started tasks of that worker elsewhere (TWICE).
     */
    @Test
    fun `a roster write without an answer counts as stored`() = runTest {
        val trial = SchedulerSimulation(this, seed = 9, workerCount = 2)
        var looks = 0
        trial.lead(
            lookDelayMs = {
                if (it == "w0") looks++
                0
            },
        )
        trial.awaitRoster()
        trial.store.faults.lostAnswers = 1.0
        val rosterVersion = trial.rosterVersion()
        trial.workers.faults.cutOff += "w0"
        awaitUntil { trial.rosterVersion() != rosterVersion }
        trial.workers.faults.cutOff.clear()
        // Answers are lost until the worker has answered a look, which is when the next but one begins.
        val looksBefore = looks
        awaitUntil { looks == looksBefore + 2 }
        trial.store.faults.lostAnswers = 0.0
        trial.submit(JOB, step(replicas = 4, cores = 8, durationMs = 6_000))
        awaitUntil { trial.workers.judge.starts == 4 }
        trial.workers.faults.cutOff += "w0"
        trial.stopLeader()
        trial.workers.boot("w2")
        trial.lead()
        delay(NOTHING_HAPPENS_MS)
        trial.workers.faults.cutOff.clear()
        assertTrue(trial.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 12_000))
        assertEquals(emptyList<String>(), trial.workers.judge.violations)
    }

    /** Guards against progress that an older write without an answer replaces seconds later (TWICE). */
    @Test
    fun `a late write of the journal does not undo a newer one`() = runTest {
        val trial = SchedulerSimulation(this, seed = 14, workerCount = 2)
        trial.lead()
        trial.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300), step(1, 4, 500, after = listOf(0)))
        awaitUntil { trial.workers.judge.starts == 2 }
        trial.store.faults.lateByMs = 3_000
        trial.store.faults.lostAnswers = 1.0
        awaitUntil { trial.workers.judge.starts == 3 && "lost" in trial.store.calls }
        trial.store.faults.lostAnswers = 0.0
        awaitUntil { trial.phaseOf(JOB) == JobPhase.COMPLETED }
        delay(2 * trial.store.faults.lateByMs)
        assertEquals(JobPhase.COMPLETED, trial.phaseOf(JOB))
        trial.stopLeader()
        trial.lead()
        delay(NOTHING_HAPPENS_MS)
        assertEquals(emptyList<String>(), trial.workers.judge.violations)
    }

    /** Guards against tasks that wait for ever for a worker that is lost for good, without a takeover (LOST). */
    @Test
    fun `tasks of a worker that is lost start elsewhere when its leases are over`() = runTest {
        val trial = SchedulerSimulation(this, seed = 13, workerCount = 2)
        trial.lead()
        trial.submit(JOB, step(replicas = 4, cores = 8, durationMs = 2_000))
        awaitUntil { trial.workers.judge.starts == 4 }
        trial.workers.crash("w0")
        assertTrue(trial.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 2 * MAX_LEASE_MS))
        assertEquals(emptyList<String>(), trial.workers.judge.violations)
    }

    /** Guards against takeovers that read every job of the day, and against an ended job that starts again. */
    @Test
    fun `a takeover reads open jobs only, and a repeated submission of an ended one starts nothing`() = runTest {
        val trial = SchedulerSimulation(this, seed = 10, workerCount = 2)
        trial.lead()
        trial.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        awaitUntil { trial.phaseOf(JOB) == JobPhase.COMPLETED }
        awaitUntil { trial.store.rowsOf(Tables.INTAKE).isEmpty() }
        trial.stopLeader()
        trial.lead()
        trial.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        delay(NOTHING_HAPPENS_MS)
        assertEquals(JobPhase.COMPLETED, trial.phaseOf(JOB))
        assertEquals(2, trial.workers.judge.starts)
    }

    private fun SchedulerSimulation.rosterVersion() = store.rowsOf(Tables.LEADER_NOTES).first {
        it.id == Tables.ROSTER_ROW
    }.version

    companion object {
        @JvmStatic
        fun formerStarts(): List<FormerStart> = listOf(
            FormerStart("a run that is found at work", durationMs = 1_500, lookDelayMs = 200),
            FormerStart("a run that is found done", durationMs = 100, lookDelayMs = 400),
        )
    }
}
