/** A store that refuses one kind of row for what it holds: all others are stored. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.ProgressPartRows
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.WaitingCounts
import dev.bronzeshore.core.cluster.decodeRow
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.minutes

private const val REFUSED_JOB = "00000000000000aa"
private const val OTHER_JOB = "00000000000000bb"
private const val LATER_JOB = "00000000000000cc"
private const val WAITING_JOB = "00000000000000dd"
private const val RUN_MS = 300L
private const val WITHIN_MS = 5_000L

/** Longer than a refused row is left out, with the time until its job ends. */
private const val TAKEN_AGAIN_WITHIN_MS = 40_000L

class RefusedRowTest {
    internal data class Case(
        val name: String,
        val tasks: Int = 2,
        val takesRoster: Boolean = true,
        val takesCounts: Boolean = true,
        val isRefused: (RowId) -> Boolean,
    ) {
        override fun toString() = name
    }

    /** Guards against one refused row that keeps new workers, counts and the ends of all jobs from being stored. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `the others go on beside a row that the store refuses`(case: Case) = runTest(timeout = 2.minutes) {
        val simulation = SchedulerSimulation(this, seed = 93, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        simulation.store.faults.isRowRefused = case.isRefused
        simulation.submit(REFUSED_JOB, tinyStep(case.tasks))
        awaitUntil(2 * WITHIN_MS) { simulation.workers.checker.starts >= case.tasks }
        simulation.submit(OTHER_JOB, step(replicas = 1, cores = 1, durationMs = RUN_MS))
        assertTrue(simulation.awaitPhase(OTHER_JOB, JobPhase.COMPLETED, WITHIN_MS), "end of another job")
        simulation.workers.boot("new")
        delay(WITHIN_MS)
        simulation.submit(LATER_JOB, step(replicas = 4, cores = 16, durationMs = 2 * WITHIN_MS))
        awaitUntil(WITHIN_MS) { ("new" in simulation.workers.checker.workersOf(LATER_JOB)) == case.takesRoster }
        simulation.submit(WAITING_JOB, step(replicas = 1, cores = 16, durationMs = RUN_MS))
        if (case.takesCounts) awaitUntil(WITHIN_MS) { simulation.storedCounts().values.sum() >= 1 }
        simulation.store.faults.isRowRefused = { false }
        val all = listOf(REFUSED_JOB, OTHER_JOB, LATER_JOB, WAITING_JOB)
        all.forEach { assertTrue(simulation.awaitPhase(it, JobPhase.COMPLETED, TAKEN_AGAIN_WITHIN_MS), "end of $it") }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against a task that runs again after a takeover, as its end was acknowledged without being stored. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `no task runs again after a takeover`(case: Case) = runTest(timeout = 2.minutes) {
        val simulation = SchedulerSimulation(this, seed = 94, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        simulation.store.faults.isRowRefused = case.isRefused
        simulation.submit(REFUSED_JOB, tinyStep(case.tasks), step(1, cores = 1, durationMs = 4 * WITHIN_MS))
        awaitUntil(2 * WITHIN_MS) { simulation.workers.checker.starts == case.tasks + 1 }
        delay(WITHIN_MS)
        simulation.stopLeader()
        simulation.store.faults.isRowRefused = { false }
        simulation.lead()
        assertTrue(simulation.awaitPhase(REFUSED_JOB, JobPhase.COMPLETED, TAKEN_AGAIN_WITHIN_MS), "end of the job")
        assertEquals(case.tasks + 1, simulation.workers.checker.starts)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    private fun tinyStep(tasks: Int) =
        step(tasks, cores = 0, durationMs = RUN_MS).let { it.copy(size = it.size.copy(memoryBytes = 1)) }

    private fun SchedulerSimulation.storedCounts(): Map<String, Int> = store.valueOf(Tables.WAITING_ROW)
        ?.let { decodeRow(WaitingCounts.serializer(), it).getOrNull()?.byQueue }.orEmpty()

    companion object {
        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("progress of a job") { it == Tables.progressRow(REFUSED_JOB) },
            Case("a part of the progress of a job", tasks = 400) {
                ProgressPartRows.jobOf(it.key) == REFUSED_JOB && it.key.endsWith(".0")
            },
            Case("all parts of the progress of a job", tasks = 400) { ProgressPartRows.jobOf(it.key) == REFUSED_JOB },
            Case("roster", takesRoster = false) { Tables.rosterNumberOf(it) != null },
            Case("counts", takesCounts = false) { it == Tables.WAITING_ROW },
            Case("speeds") { it == Tables.SPEEDS_ROW },
        )
    }
}
