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

    /** One data centre with its table and workers, which successive owners take over. */
    private inner class DataCentreFixture(val test: TestScope, workerCount: Int = 2) {
        val table = FakeTable()
        val clock = { test.currentTime + 1_000_000 }
        val workers = List(workerCount) { FakeWorker("w$it", clock) }
        var unlistedWorkers = emptySet<String>()
        private var term = 0L
        private var attempts = 0L

        /** Starts a new owner, which acts until its scope is cancelled or until [actUntilMs]. */
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
                    it.vm.id !in unlistedWorkers
                }.map { WorkerCandidate(it.vm, accepting = true) },
            )
            scope.launch { jobs.run() }
            return jobs to scope
        }

        fun record(jobId: String) = JobRows.parse(table.rows.getValue(JobRows.jobKey(jobId)))

        /** Number of times that successive attempts of a part overlapped. */
        fun overlaps(): Int {
            workers.forEach { it.advance() }
            val byPart = workers.flatMap { it.intervals }.groupBy { (task, _, _) -> task.jobId to task.part }
            return byPart.values.sumOf { runs ->
                val sorted = runs.sortedBy { it.second }
                sorted.zipWithNext().count { (first, second) -> second.second < first.third }
            }
        }
    }

    private suspend fun TestScope.submitJob(
        jobs: DataCentreJobs,
        submission: JobSubmission,
        key: String = "key",
    ): String {
        advanceTimeBy(5_000)
        return jobs.submit("plan", key, submission).fold({ error(it.message) }, { it.jobId })
    }

    @Test
    fun `a job runs once and its result is durable`() = runTest {
        val fixture = DataCentreFixture(this)
        val (jobs, _) = fixture.takeOver()
        val jobId = submitJob(jobs, oneMinuteJob)
        advanceTimeBy(70_000)
        assertEquals(JobState.SUCCEEDED, fixture.record(jobId).state)
        assertEquals("done:x", fixture.record(jobId).results.single().output)
        assertEquals(1, fixture.workers.sumOf { it.startedTasks.size })
    }

    @Test
    fun `a repeated submission returns the same job and a key reused for other content is refused`() = runTest {
        val (jobs, _) = DataCentreFixture(this).takeOver()
        val jobId = submitJob(jobs, oneMinuteJob)
        assertEquals(jobId, jobs.submit("plan", "key", oneMinuteJob).getOrNull()?.jobId)
        val other = jobs.submit("plan", "key", oneMinuteJob.copy(payload = "y"))
        assertEquals(ResultCode.KEY_REUSED, other.leftOrNull()?.code)
    }

    /** Guards against concurrent attempts of a part, or a lost part, when a worker or its responses are lost. */
    @Test
    fun `attempts of a part never overlap when its worker fails`() {
        class Case(val name: String, val idempotent: Boolean, val expected: JobState, val fail: (FakeWorker) -> Unit)
        val cases = listOf(
            Case("worker unreachable, idempotent", true, JobState.SUCCEEDED) { it.isUnreachable = true },
            Case("worker unreachable, not idempotent", false, JobState.UNKNOWN) { it.isUnreachable = true },
            Case("responses lost, idempotent", true, JobState.SUCCEEDED) { it.losesResponses = true },
        )
        cases.forEach { case ->
            runTest {
                val fixture = DataCentreFixture(this)
                val (jobs, _) = fixture.takeOver()
                val jobId = submitJob(jobs, oneMinuteJob.copy(idempotent = case.idempotent))
                advanceTimeBy(3_000)
                case.fail(fixture.workers.first { it.startedTasks.isNotEmpty() })
                advanceTimeBy(300_000)
                assertEquals(case.expected, fixture.record(jobId).state, case.name)
                assertEquals(0, fixture.overlaps(), case.name)
            }
        }
    }

    /** Guards against a new owner that starts a part which a worker still runs for the previous owner. */
    @Test
    fun `a new owner adopts running parts, also on a worker that the VM list omits`() = runTest {
        listOf(false, true).forEach { isUnlisted ->
            val fixture = DataCentreFixture(this)
            val (first, firstScope) = fixture.takeOver()
            val jobId = submitJob(first, oneMinuteJob)
            advanceTimeBy(3_000)
            firstScope.cancel()
            if (isUnlisted) {
                fixture.unlistedWorkers =
                    fixture.workers.filter { it.startedTasks.isNotEmpty() }.map { it.vm.id }.toSet()
            }
            val (_, secondScope) = fixture.takeOver()
            advanceTimeBy(100_000)
            assertEquals(JobState.SUCCEEDED, fixture.record(jobId).state, "unlisted: $isUnlisted")
            assertEquals(1, fixture.workers.sumOf { it.startedTasks.size }, "unlisted: $isUnlisted")
            secondScope.cancel()
        }
    }

    /** Guards against a takeover that takes a heartbeat period longer because its first reports are too early. */
    @Test
    fun `a new owner recovers as soon as reports are valid`() = runTest {
        val (jobs, _) = DataCentreFixture(this).takeOver()
        advanceTimeBy(2 * MAX_CLOCK_SKEW_MS + 100)
        assertTrue(jobs.isRecovered)
    }

    @Test
    fun `a part on an unreachable worker waits for its lease before a new owner starts it again`() = runTest {
        val fixture = DataCentreFixture(this)
        val (first, firstScope) = fixture.takeOver()
        val jobId = submitJob(first, oneMinuteJob)
        advanceTimeBy(3_000)
        firstScope.cancel()
        fixture.workers.first { it.startedTasks.isNotEmpty() }.isUnreachable = true
        fixture.takeOver()
        advanceTimeBy(TASK_LEASE_MS + 2 * MAX_CLOCK_SKEW_MS - 1_000)
        assertEquals(1, fixture.workers.sumOf { it.startedTasks.size })
        advanceTimeBy(100_000)
        assertEquals(JobState.SUCCEEDED, fixture.record(jobId).state)
        assertEquals(0, fixture.overlaps())
    }

    @Test
    fun `an owner whose lease has ended starts nothing`() = runTest {
        val fixture = DataCentreFixture(this)
        var actUntilMs = Long.MAX_VALUE
        val (jobs, _) = fixture.takeOver { actUntilMs }
        advanceTimeBy(5_000)
        val accepted = backgroundScope.launch { jobs.submit("plan", "key", oneMinuteJob) }
        actUntilMs = 0
        advanceTimeBy(60_000)
        assertTrue(accepted.isCompletedOrCancelled())
        assertEquals(0, fixture.workers.sumOf { it.startedTasks.size })
    }

    @Test
    fun `a cancelled job is reported as not run only if no part may have run`() = runTest {
        class Case(val name: String, val waitMs: Long, val code: ResultCode, val workers: Int)
        listOf(
            Case("no worker", 1_000, ResultCode.CANCELLED, 0),
            Case("running", 5_000, ResultCode.CANCELLED_LATE, 1),
        ).forEach { case ->
            val fixture = DataCentreFixture(this, case.workers)
            val (jobs, scope) = fixture.takeOver()
            val jobId = submitJob(jobs, oneMinuteJob)
            advanceTimeBy(case.waitMs)
            jobs.cancel(jobId)
            advanceTimeBy(10_000)
            assertEquals(case.code, fixture.record(jobId).code, case.name)
            scope.cancel()
        }
    }

    /** Guards against a gang of which only some parts run after the loss of a worker. */
    @Test
    fun `all parts of a gang restart when one of its workers is lost`() = runTest {
        val fixture = DataCentreFixture(this, workerCount = 3)
        val (jobs, _) = fixture.takeOver()
        val jobId = submitJob(jobs, oneMinuteJob.copy(kind = "gang", parts = 3))
        advanceTimeBy(5_000)
        assertEquals(3, fixture.workers.sumOf { it.startedTasks.size })
        fixture.workers.last().isUnreachable = true
        advanceTimeBy(200_000)
        assertEquals(JobState.SUCCEEDED, fixture.record(jobId).state)
        assertEquals(6, fixture.workers.sumOf { it.startedTasks.size })
        assertEquals(0, fixture.overlaps())
    }

    @Test
    fun `a completion is retried until the table service is available`() = runTest {
        val fixture = DataCentreFixture(this)
        val (jobs, _) = fixture.takeOver()
        val jobId = submitJob(jobs, oneMinuteJob)
        fixture.table.isDown = true
        advanceTimeBy(1_800_000)
        assertEquals(ResultCode.STORE_UNAVAILABLE, jobs.submit("plan", "other", oneMinuteJob).leftOrNull()?.code)
        fixture.table.isDown = false
        advanceTimeBy(5_000)
        assertEquals(JobState.SUCCEEDED, fixture.record(jobId).state)
    }

    private fun Job.isCompletedOrCancelled() = isCompleted || isCancelled
}
