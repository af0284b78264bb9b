/** Jobs with so many tasks that their progress does not fit into one row of the store. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.Tables
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.minutes

private const val WIDE_JOB = "00000000000000aa"
private const val OTHER_JOB = "00000000000000bb"
private const val OTHER_RUN_MS = 100L
private const val RESULTS_WITHIN_MS = 5_000L
private const val CHECKPOINTED_TASKS = 3_600
private const val DELETION_MS = 15_000L

/** With one failed run of each task, and all done, the row takes 62.5 KB. */
private const val TASKS_AT_LIMIT = 7_000

/** With one failed run of each task, the row takes 68.8 KB. */
private const val TASKS_BEYOND_LIMIT = 11_500

class LargeProgressTest {
    /** Guards against a wide job whose tasks have all failed once, and after which no job's end is stored any more. */
    @Test
    fun `other jobs end beside a job with many failed tasks`() = otherJobEndsBeside(TASKS_AT_LIMIT, runMs = 20_000)

    /** Guards against the same where the progress of the wide job does not fit into a row. */
    @Test
    fun `other jobs end beside a job whose failed tasks do not fit into a row`() =
        otherJobEndsBeside(TASKS_BEYOND_LIMIT, runMs = 60_000)

    /** Guards against progress that a takeover loses between the rows of a job, and against rows that stay behind. */
    @Test
    fun `a wide job ends across takeovers and leaves one row`() = runTest(timeout = 3.minutes) {
        val simulation = SchedulerSimulation(this, seed = 92, workerCount = 4)
        simulation.store.faults.maxValueBytes = MAX_ROW_BYTES
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(WIDE_JOB, tinyStep(CHECKPOINTED_TASKS, runMs = 6_000).copy(isCheckpointable = true))
        repeat(2) { round ->
            awaitUntil(20_000) { simulation.workers.checker.starts > CHECKPOINTED_TASKS * (round + 1) / 3 }
            simulation.workers.crash("w$round")
            simulation.stopLeader()
            simulation.lead()
        }
        assertTrue(simulation.awaitPhase(WIDE_JOB, JobPhase.COMPLETED, RESULTS_WITHIN_MS * 12), "end of the wide job")
        assertTrue(holdsWithin(DELETION_MS) { simulation.store.rowsOf(Tables.PROGRESS).size == 1 }, "rows of the job")
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    private fun tinyStep(tasks: Int, runMs: Long) =
        step(tasks, cores = 0, durationMs = runMs).let { it.copy(size = it.size.copy(memoryBytes = 1)) }

    private fun otherJobEndsBeside(tasks: Int, runMs: Long) = runTest(timeout = 3.minutes) {
        val simulation = SchedulerSimulation(this, seed = 91, workerCount = 4)
        simulation.store.faults.maxValueBytes = MAX_ROW_BYTES
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(WIDE_JOB, tinyStep(tasks, runMs))
        awaitUntil(runMs - 10_000) { simulation.workers.checker.starts == tasks }
        simulation.workers.faults.failing += simulation.workers.ids
        awaitUntil { simulation.workers.checker.runningCount == 0 }
        simulation.workers.faults.failing.clear()
        simulation.submit(OTHER_JOB, step(replicas = 1, cores = 1, durationMs = OTHER_RUN_MS))
        assertTrue(simulation.awaitPhase(OTHER_JOB, JobPhase.COMPLETED, RESULTS_WITHIN_MS), "end of the other job")
        assertTrue(simulation.awaitPhase(WIDE_JOB, JobPhase.COMPLETED, 2 * runMs), "end of the wide job")
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertEquals(2 * tasks + 1, simulation.workers.checker.starts)
    }
}
