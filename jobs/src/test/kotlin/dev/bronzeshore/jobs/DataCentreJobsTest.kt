package dev.bronzeshore.jobs

import dev.bronzeshore.core.JobState
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TASK_LEASE_MS
import dev.bronzeshore.core.WorkKind
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

@OptIn(ExperimentalCoroutinesApi::class)
class DataCentreJobsTest {
    private val oneMinuteJob = JobSubmission("batch", Resources(1_000, 1_000), declaredRunMs = 60_000, payload = "x")

    /** One data centre with its table and workers; owners come and go. */
    private inner class Cell(val test: TestScope, workerCount: Int = 2) {
        val table = FakeTable()
        val clock = { test.currentTime + 1_000_000 }
        val workers = List(workerCount) { FakeWorker("w$it", clock) }
        var hiddenWorkers = emptySet<String>()
        private var term = 0L
        private var attempts = 0L

        /** Starts an owner whose right ends when [end] is called on its scope. */
        fun takeOver(actUntilMs: () -> Long = { Long.MAX_VALUE }): Pair<DataCentreJobs, CoroutineScope> {
            val scope = CoroutineScope(
                test.backgroundScope.coroutineContext + SupervisorJob(test.backgroundScope.coroutineContext.job),
            )
            val context = JobsContext(
                authority = OwnerAuthority("ridge", ++term, clock(), { attempts++ }, actUntilMs),
                clock = clock,
                table = table.api,
                workerApi = { address, commands -> workers.first { it.vm.address == address }.call(commands) },
                placer = FakePlacer(),
                scope = scope,
                kindOf = { _, kind -> WorkKind(kind, if (kind == "gang") Policy.GANG else Policy.BATCH) },
            )
            val jobs = DataCentreJobs(context)
            jobs.updateWorkers(
                workers.filter {
                    it.vm.id !in hiddenWorkers
                }.map { WorkerCandidate(it.vm, accepting = true) },
            )
            scope.launch { jobs.run() }
            return jobs to scope
        }

        fun record(jobId: String) = JobRows.parse(table.rows.getValue(JobRows.jobKey(jobId)))

        /** Times at which two attempts of one part ran at once. */
        fun overlaps(): Int {
            workers.forEach { it.advance() }
            val byPart = workers.flatMap { it.intervals }.groupBy { (task, _, _) -> task.jobId to task.part }
            return byPart.values.sumOf { runs ->
                val sorted = runs.sortedBy { it.second }
                sorted.zipWithNext().count { (first, second) -> second.second < first.third }
            }
        }
    }

    private suspend fun TestScope.submitted(
        jobs: DataCentreJobs,
        submission: JobSubmission,
        key: String = "key",
    ): String {
        advanceTimeBy(5_000)
        return jobs.submit("plan", key, submission).fold({ error(it.message) }, { it.jobId })
    }

    @Test
    fun `a job runs once and its result is durable`() = runTest {
        val cell = Cell(this)
        val (jobs, _) = cell.takeOver()
        val jobId = submitted(jobs, oneMinuteJob)
        advanceTimeBy(70_000)
        assertEquals(JobState.SUCCEEDED, cell.record(jobId).state)
        assertEquals("done:x", cell.record(jobId).results.single().output)
        assertEquals(1, cell.workers.sumOf { it.startedTasks.size })
    }

    @Test
    fun `a repeated submission names the same job and other content is refused`() = runTest {
        val (jobs, _) = Cell(this).takeOver()
        val jobId = submitted(jobs, oneMinuteJob)
        assertEquals(jobId, jobs.submit("plan", "key", oneMinuteJob).getOrNull()?.jobId)
        val other = jobs.submit("plan", "key", oneMinuteJob.copy(payload = "y"))
        assertEquals(ResultCode.KEY_REUSED, other.leftOrNull()?.code)
    }

    /** Guards against two copies of a part, or a lost part, whatever the worker does. */
    @Test
    fun `a part never runs twice at once when its worker fails`() {
        class Case(val name: String, val idempotent: Boolean, val ends: JobState, val fail: (FakeWorker) -> Unit)
        val cases = listOf(
            Case("worker unreachable, idempotent", true, JobState.SUCCEEDED) { it.isUnreachable = true },
            Case("worker unreachable, not idempotent", false, JobState.UNKNOWN) { it.isUnreachable = true },
            Case("answers lost, idempotent", true, JobState.SUCCEEDED) { it.losesAnswers = true },
        )
        cases.forEach { case ->
            runTest {
                val cell = Cell(this)
                val (jobs, _) = cell.takeOver()
                val jobId = submitted(jobs, oneMinuteJob.copy(idempotent = case.idempotent))
                advanceTimeBy(3_000)
                case.fail(cell.workers.first { it.startedTasks.isNotEmpty() })
                advanceTimeBy(300_000)
                assertEquals(case.ends, cell.record(jobId).state, case.name)
                assertEquals(0, cell.overlaps(), case.name)
            }
        }
    }

    /** Guards against a new owner that starts a part which the former owner's worker still runs. */
    @Test
    fun `a new owner adopts running parts, also on a worker that the list hides`() = runTest {
        listOf(false, true).forEach { isHidden ->
            val cell = Cell(this)
            val (first, firstScope) = cell.takeOver()
            val jobId = submitted(first, oneMinuteJob)
            advanceTimeBy(3_000)
            firstScope.cancel()
            if (isHidden) {
                cell.hiddenWorkers =
                    cell.workers.filter { it.startedTasks.isNotEmpty() }.map { it.vm.id }.toSet()
            }
            val (_, secondScope) = cell.takeOver()
            advanceTimeBy(100_000)
            assertEquals(JobState.SUCCEEDED, cell.record(jobId).state, "hidden: $isHidden")
            assertEquals(1, cell.workers.sumOf { it.startedTasks.size }, "hidden: $isHidden")
            secondScope.cancel()
        }
    }

    /** Guards against a takeover that lasts a heartbeat period longer since its first reports do not count. */
    @Test
    fun `a new owner has recovered as soon as reports count`() = runTest {
        val (jobs, _) = Cell(this).takeOver()
        advanceTimeBy(2 * MAX_CLOCK_SKEW_MS + 100)
        assertTrue(jobs.isRecovered)
    }

    @Test
    fun `a part on an unreachable worker waits for its lease before a new owner starts it again`() = runTest {
        val cell = Cell(this)
        val (first, firstScope) = cell.takeOver()
        val jobId = submitted(first, oneMinuteJob)
        advanceTimeBy(3_000)
        firstScope.cancel()
        cell.workers.first { it.startedTasks.isNotEmpty() }.isUnreachable = true
        cell.takeOver()
        advanceTimeBy(TASK_LEASE_MS + 2 * MAX_CLOCK_SKEW_MS - 1_000)
        assertEquals(1, cell.workers.sumOf { it.startedTasks.size })
        advanceTimeBy(100_000)
        assertEquals(JobState.SUCCEEDED, cell.record(jobId).state)
        assertEquals(0, cell.overlaps())
    }

    @Test
    fun `an owner without the right to act starts nothing`() = runTest {
        val cell = Cell(this)
        var actUntilMs = Long.MAX_VALUE
        val (jobs, _) = cell.takeOver { actUntilMs }
        advanceTimeBy(5_000)
        val accepted = backgroundScope.launch { jobs.submit("plan", "key", oneMinuteJob) }
        actUntilMs = 0
        advanceTimeBy(60_000)
        assertTrue(accepted.isCompletedOrCancelled())
        assertEquals(0, cell.workers.sumOf { it.startedTasks.size })
    }

    @Test
    fun `a cancelled job is told not run only if no part may have run`() = runTest {
        class Case(val name: String, val waitMs: Long, val code: ResultCode, val workers: Int)
        listOf(
            Case("no worker", 1_000, ResultCode.CANCELLED, 0),
            Case("running", 5_000, ResultCode.CANCELLED_LATE, 1),
        ).forEach { case ->
            val cell = Cell(this, case.workers)
            val (jobs, scope) = cell.takeOver()
            val jobId = submitted(jobs, oneMinuteJob)
            advanceTimeBy(case.waitMs)
            jobs.cancel(jobId)
            advanceTimeBy(10_000)
            assertEquals(case.code, cell.record(jobId).code, case.name)
            scope.cancel()
        }
    }

    /** Guards against a gang of which only some parts run. */
    @Test
    fun `a gang starts again whole when one of its workers is lost`() = runTest {
        val cell = Cell(this, workerCount = 3)
        val (jobs, _) = cell.takeOver()
        val jobId = submitted(jobs, oneMinuteJob.copy(kind = "gang", parts = 3))
        advanceTimeBy(5_000)
        assertEquals(3, cell.workers.sumOf { it.startedTasks.size })
        cell.workers.last().isUnreachable = true
        advanceTimeBy(200_000)
        assertEquals(JobState.SUCCEEDED, cell.record(jobId).state)
        assertEquals(6, cell.workers.sumOf { it.startedTasks.size })
        assertEquals(0, cell.overlaps())
    }

    @Test
    fun `completions wait for the table service and are not lost`() = runTest {
        val cell = Cell(this)
        val (jobs, _) = cell.takeOver()
        val jobId = submitted(jobs, oneMinuteJob)
        cell.table.isDown = true
        advanceTimeBy(1_800_000)
        assertEquals(ResultCode.STORE_UNAVAILABLE, jobs.submit("plan", "other", oneMinuteJob).leftOrNull()?.code)
        cell.table.isDown = false
        advanceTimeBy(5_000)
        assertEquals(JobState.SUCCEEDED, cell.record(jobId).state)
    }

    private fun Job.isCompletedOrCancelled() = isCompleted || isCancelled
}
