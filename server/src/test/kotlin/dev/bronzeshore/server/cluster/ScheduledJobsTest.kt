/** Jobs that repeat: memory of the leader, order and number of the runs, also across takeovers. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.JobSchedule
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.StepProgress
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Ten days, once a minute. */
private const val MANY = 14_400
private const val JOBS = 20
private const val SMALL_JOB = "00000000000000aa"
private const val MINUTE_MS = 60_000L
private const val FAR_AHEAD_MS = 100 * MINUTE_MS

/** Twice what the leader keeps of occurrences that wait for earlier ones of their job. */
private const val MAX_TRACKED_TASKS = 20_000

/** A row of the store. */
private const val MAX_ROW_BYTES = 65_536 * 3 / 4
private const val OBSERVATION_MS = 5_000L
private const val TAKEOVERS = 3
private const val FEW = 60
private const val PERIOD_MS = 100L
private const val TAKEOVER_PERIOD_MS = 1_300L

class ScheduledJobsTest {
    internal class Case(private val name: String, val schedule: JobSchedule, val step: StepDescription = SMALL) {
        override fun toString() = name
    }

    /**
     * Guards against leaders that run out of memory one after the other, because they keep the tasks of all occurrences
     * of all accepted jobs, also of those that are not due or wait behind earlier ones.
     */
    @ParameterizedTest
    @MethodSource("manyOccurrences")
    internal fun `the memory for jobs does not grow with their repetitions`(case: Case) = runTest {
        val simulation = SchedulerSimulation(this, seed = 61, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        repeat(JOBS) { simulation.submitScheduled(id(it), case.schedule, case.step) }
        repeat(TAKEOVERS) { takeover ->
            delay(OBSERVATION_MS)
            val tracked = simulation.runner?.memoryUse?.trackedTasks ?: 0
            assertTrue(tracked <= MAX_TRACKED_TASKS, "$tracked tasks in memory, takeover $takeover")
            assertTrue(simulation.largestProgressRow() <= MAX_ROW_BYTES, "progress rows, takeover $takeover")
            simulation.stopLeader()
            simulation.lead()
        }
        simulation.submit(SMALL_JOB, step(replicas = 2, cores = 1, durationMs = 100), priority = 0)
        assertTrue(simulation.awaitPhase(SMALL_JOB, JobPhase.COMPLETED, withinMs = 2 * OBSERVATION_MS))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /**
     * Guards against occurrences that run again or are skipped after a takeover, because what is done is stored as
     * numbers only.
     */
    @Test
    fun `each occurrence runs once across takeovers`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 62, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submitScheduled(
            SMALL_JOB,
            JobSchedule(simulation.nowMs(), PERIOD_MS, FEW),
            SMALL.copy(estimateMs = 300),
        )
        repeat(TAKEOVERS) {
            delay(TAKEOVER_PERIOD_MS)
            simulation.stopLeader()
            simulation.lead()
        }
        assertTrue(simulation.awaitPhase(SMALL_JOB, JobPhase.COMPLETED, withinMs = 2 * FEW * PERIOD_MS))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        assertEquals(FEW, simulation.workers.checker.starts)
    }

    /** Guards against a release that runs all occurrences again which its predecessor stored one by one. */
    @Test
    fun `progress that lists each done occurrence is understood`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 63, workerCount = 3)
        simulation.submitScheduled(SMALL_JOB, JobSchedule(0, 0, FEW), SMALL)
        val done = (0 until FEW - 1).map { StepProgress(occurrence = it, step = 0, doneTasks = listOf(0)) }
        val progress = JobProgress(JobPhase.PENDING, done)
        simulation.store.put(Tables.progressRow(SMALL_JOB), encodeRow(JobProgress.serializer(), progress))
        simulation.lead()
        assertTrue(simulation.awaitPhase(SMALL_JOB, JobPhase.COMPLETED, withinMs = OBSERVATION_MS))
        assertEquals(1, simulation.workers.checker.starts)
    }

    /** Guards against the tasks of ended jobs, which stay in memory for minutes until the jobs' rows are deleted. */
    @Test
    fun `the tasks of ended jobs are not kept`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 64, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        repeat(JOBS) { simulation.submit(id(it), step(replicas = 20, cores = 1, durationMs = 100)) }
        repeat(JOBS) { assertTrue(simulation.awaitPhase(id(it), JobPhase.COMPLETED, withinMs = 2 * OBSERVATION_MS)) }
        delay(OBSERVATION_MS)
        assertEquals(0, simulation.runner?.memoryUse?.trackedTasks)
    }

    companion object {
        private val SMALL = step(replicas = 1, cores = 1, durationMs = 100)

        /** Leaves room for other jobs on its worker. */
        private val SERVICE_STEP = step(replicas = 1, cores = 9, durationMs = FAR_AHEAD_MS).copy(isService = true)

        private fun id(number: Int) = number.toString(16).padStart(16, '0')

        private fun SchedulerSimulation.submitScheduled(id: String, schedule: JobSchedule, step: StepDescription) {
            val job = newJob(id, step)
            val scheduled = job.copy(description = job.description.copy(schedule = schedule))
            store.put(Tables.acceptedRow(id), encodeRow(AcceptedJob.serializer(), scheduled))
        }

        private fun SchedulerSimulation.largestProgressRow(): Int =
            store.rowsOf(Tables.PROGRESS).maxOfOrNull { it.value?.size ?: 0 } ?: 0

        @JvmStatic
        fun manyOccurrences(): List<Any> = listOf(
            Case("due later", JobSchedule(FAR_AHEAD_MS, MINUTE_MS, MANY)),
            Case("all due long ago", JobSchedule(-FAR_AHEAD_MS, 0, MANY)),
            Case("due faster than they run", JobSchedule(0, 1, MANY), SMALL.copy(estimateMs = 2_000)),
            Case("due in the reverse order", JobSchedule(FAR_AHEAD_MS, -MINUTE_MS, MANY)),
            Case("services that never end", JobSchedule(0, 10, MANY), SERVICE_STEP),
        )
    }
}
