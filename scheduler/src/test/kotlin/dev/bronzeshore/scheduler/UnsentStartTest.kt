/** Starts that are planned while the leader may grant leases, and sent when it may not any more. */
@file:OptIn(ExperimentalCoroutinesApi::class)

package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.StartAnswer
import dev.bronzeshore.core.cluster.StartResult
import dev.bronzeshore.core.cluster.WorkerCalls
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

private const val JOB = "00000000000000aa"
private const val STARTED_AT_MS = 1L
private val CAPACITY = Resources(16_000, 32_000)
private val TASK_SIZE = Resources(4_000, 1)

class UnsentStartTest {
    /** Guards against a task that waits for ever on a worker that was never told to start it. */
    @Test
    fun `a task whose start was not sent for want of authority starts again later`() = runTest {
        val leader = Leader(backgroundScope)
        leader.mayGrant = false
        leader.starter.start(PlannedStart(leader.task, leader.worker, run = 1, ticket = null))
        runCurrent()
        leader.mayGrant = true
        assertEquals(0, leader.starts)
        leader.receiveEmptyReport(atMs = 60_000)
        leader.receiveEmptyReport(atMs = 120_000)
        runCurrent()
        assertEquals(null, leader.task.placement)
        assertEquals(CAPACITY, leader.worker.free)
    }

    /** Guards against a start that is valid from after a pause in which a successor took the leases for over. */
    @Test
    fun `a start is valid from before the check of the authority`() = runTest {
        val leader = Leader(backgroundScope)
        leader.worker.clock.observe(workerClockMs = 0, nowMs = 0)
        leader.pauseInCheckMs = 8_000
        leader.starter.start(PlannedStart(leader.task, leader.worker, run = 1, ticket = null))
        runCurrent()
        assertEquals(START_VALIDITY_MS, leader.firstValidUntilMs)
    }

    private class Leader(scope: CoroutineScope) {
        private var nowMs = 0L
        var mayGrant = true
        var pauseInCheckMs = 0L
        var starts = 0
        var firstValidUntilMs: Long? = null
        val context = TermContext(term = 1, termRowVersion = 1, dependencies(), scope)
        private val stopper = RunStopper(context)
        private val lifecycle = JobLifecycle(context, stopper)
        private val trials = CrashTrials(context)
        private val reports = ReportHandler(
            context,
            lifecycle,
            stopper,
            Quarantine(context),
            trials,
            CrashAttribution(context, lifecycle),
        )
        val starter = TaskStarter(context, stopper, trials)
        val worker = context.workerPool.add(testWorkerEntry(STARTED_AT_MS, CAPACITY))
        val job = checkNotNull(context.jobRegistry.add(testJob(JOB, TASK_SIZE), acceptedAtMs = 0, knownAtMs = 0, 1))
        val task = job.openSteps.single().tasks.single()

        fun receiveEmptyReport(atMs: Long) {
            nowMs = atMs
            val report = HoldAnswer.Report(STARTED_AT_MS, atMs, emptyList(), emptyList())
            reports.handle(worker, report, atMs - 1)
        }

        private fun checkAuthority(): Boolean {
            nowMs += pauseInCheckMs
            return mayGrant
        }

        private fun dependencies() = dependenciesWithoutStore(
            clock = { nowMs },
            mayGrantLeases = ::checkAuthority,
            calls = WorkerCalls(
                start = { _, request ->
                    starts++
                    firstValidUntilMs = firstValidUntilMs ?: request.validUntilWorkerMs
                    StartAnswer(StartResult.UNKNOWN)
                },
                stop = { _, _, _ -> true },
                hold = { _, _ -> HoldAnswer.Unreachable("unused") },
            ),
            metrics = SchedulerMetrics(),
        )
    }
}
