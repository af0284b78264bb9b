/** Reports of a worker that overlap: they arrive in another order than the worker has made them. */
@file:OptIn(ExperimentalCoroutinesApi::class)

package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.RunningTask
import dev.bronzeshore.core.cluster.StartAnswer
import dev.bronzeshore.core.cluster.StartResult
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerCalls
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.MethodSource

private const val JOB = "00000000000000aa"
private const val STARTED_AT_MS = 1L
private const val ORDERED_AT_MS = 100L
private const val CONFIRMED_AT_MS = 110L
private val CAPACITY = Resources(16_000, 32_000)
private val TASK_SIZE = Resources(4_000, 1)

class ReportOrderTest {
    /** A report that the leader requested and received at these times, with the worker's time when it was made. */
    internal data class Times(val requestedAtMs: Long, val madeAtWorkerMs: Long, val receivedAtMs: Long)

    internal data class Case(val name: String, val second: Times, val isOvertaken: Boolean) {
        override fun toString() = name
    }

    /** Guards against a run that is taken for a second one, stopped or adopted after its end. */
    @ParameterizedTest
    @EnumSource(EndKind::class, names = ["DONE", "FAILED", "STOPPED"])
    fun `an overtaken report does not revive a run that has ended`(kind: EndKind) = runTest {
        val leader = Leader(backgroundScope)
        leader.place()
        leader.receive(FIRST, ends = listOf(TaskEnd(1, leader.run, kind, null)))
        leader.receive(OVERTAKEN, running = listOf(leader.run))
        runCurrent()
        assertEquals(emptySet<TaskRun>(), leader.worker.strayRuns)
        assertEquals(null, leader.task.placement)
        assertEquals(0, leader.duplicates)
        assertEquals(0, leader.stops)
    }

    /** Guards against capacity that seems free, and a task that starts again, while a run to be stopped goes on. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a run to be stopped is forgotten once a later report leaves it out`(case: Case) = runTest {
        val leader = Leader(backgroundScope)
        leader.context.jobRegistry.close(leader.job, JobPhase.CANCELLED, endedAtMs = 0)
        leader.receive(FIRST, running = listOf(leader.run))
        leader.receive(case.second)
        assertEquals(if (case.isOvertaken) CAPACITY - TASK_SIZE else CAPACITY, leader.worker.free)
    }

    /** Guards against a run that counts as going on because the report without it is taken for an older one. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a run that a later report leaves out is lost`(case: Case) = runTest {
        val leader = Leader(backgroundScope)
        leader.place()
        leader.receive(FIRST, running = listOf(leader.run))
        leader.receive(case.second)
        assertEquals(case.isOvertaken, leader.task.placement != null)
    }

    /** A leader with one task and one worker. */
    private class Leader(scope: CoroutineScope) {
        private var nowMs = 0L
        var duplicates = 0
        var stops = 0
        val context = TermContext(term = 1, termRowVersion = 1, dependencies(), scope)
        private val lifecycle = RunStopper(context).let { JobLifecycle(context, it) }
        private val reports = ReportHandler(
            context,
            lifecycle,
            RunStopper(context),
            Quarantine(context),
            CrashTrials(context),
            CrashAttribution(context, lifecycle),
        )
        val worker = context.workerPool.add(testWorkerEntry(STARTED_AT_MS, CAPACITY))
        val job = checkNotNull(context.jobRegistry.add(testJob(JOB, TASK_SIZE), acceptedAtMs = 0, knownAtMs = 0, 1))
        val task = job.openSteps.single().tasks.single()
        val run = TaskRun(task.name, 1)

        fun place() {
            val placement = Placement(task, worker, run, ORDERED_AT_MS)
            placement.confirmStart(CONFIRMED_AT_MS, CONFIRMED_AT_MS)
            task.placement = placement
            task.lastRun = run.run
            worker.add(placement)
        }

        fun receive(times: Times, running: List<TaskRun> = emptyList(), ends: List<TaskEnd> = emptyList()) {
            nowMs = times.receivedAtMs
            val listed = running.map { RunningTask(it, checkpoint = null, percent = 0) }
            val report = HoldAnswer.Report(STARTED_AT_MS, times.madeAtWorkerMs, listed, ends)
            reports.handle(worker, report, times.requestedAtMs)
        }

        private fun dependencies() = dependenciesWithoutStore(
            clock = { nowMs },
            mayGrantLeases = { true },
            calls = WorkerCalls(
                start = { _, _ -> StartAnswer(StartResult.UNKNOWN) },
                stop = { _, _, _ -> true.also { stops++ } },
                hold = { _, _ -> HoldAnswer.Unreachable("unused") },
            ),
            metrics = SchedulerMetrics(losses = LossMetrics(duplicateRun = { duplicates++ })),
        )
    }

    companion object {
        private val FIRST = Times(requestedAtMs = 1_050, madeAtWorkerMs = 5_000, receivedAtMs = 1_060)
        private val OVERTAKEN = Times(requestedAtMs = 900, madeAtWorkerMs = 4_990, receivedAtMs = 1_200)

        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("requested and made earlier", OVERTAKEN, isOvertaken = true),
            Case("requested later and made earlier", Times(1_055, 4_990, 1_200), isOvertaken = true),
            Case("made in the same millisecond", Times(900, 5_000, 1_200), isOvertaken = true),
            Case("overlapping and made later", Times(1_055, 5_010, 1_200), isOvertaken = false),
            Case("requested after the first one", Times(1_070, 5_100, 1_200), isOvertaken = false),
            Case("requested after the first one, by a clock that is behind", Times(1_070, 4_000, 1_200), false),
        )
    }
}
