package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskAction
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskOrder
import dev.bronzeshore.core.TaskRenewal
import dev.bronzeshore.core.TaskStart
import dev.bronzeshore.core.TaskState
import dev.bronzeshore.core.TaskStatus
import dev.bronzeshore.core.WorkerCommands
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

/** Guards against a worker that is more lenient or stricter than the platform protocol. */
class WorkerTasksTest {
    private val first = TaskId("j", 0, 1001)
    private val second = TaskId("j", 1, 1001)
    private val size = Resources(600, 600)
    private val start = TaskStart(first, size, "kind", "p", startBeforeMs = 100, leaseUntilMs = 200, runMs = 50)
    private val starts = WorkerCommands(starts = listOf(start))
    private var nowMs = 0L
    private var failsTasks = false

    private class Step(val atMs: Long, val commands: WorkerCommands, vararg val expected: TaskState)

    private class Case(val name: String, vararg val steps: Step)

    private val heartbeat = WorkerCommands()
    private val longStarts = WorkerCommands(listOf(start.copy(runMs = 1_000)))
    private val stop = WorkerCommands(orders = listOf(TaskOrder(first, TaskAction.STOP)))
    private val checkpoint = WorkerCommands(orders = listOf(TaskOrder(first, TaskAction.CHECKPOINT)))
    private val throttle = WorkerCommands(orders = listOf(TaskOrder(first, TaskAction.THROTTLE)))
    private val acknowledgement = WorkerCommands(acknowledged = listOf(first))

    private fun renewal(untilMs: Long) = WorkerCommands(renewals = listOf(TaskRenewal(first, untilMs)))

    private val cases = listOf(
        Case(
            "a task runs for its run time",
            Step(10, starts, TaskState.RUNNING),
            Step(59, heartbeat, TaskState.RUNNING),
            Step(60, heartbeat, TaskState.SUCCEEDED),
        ),
        Case("a task starts at its latest start time", Step(100, starts, TaskState.RUNNING)),
        Case("a late start is refused", Step(101, starts, TaskState.REFUSED)),
        Case(
            "a start whose lease has ended is refused",
            Step(50, WorkerCommands(listOf(start.copy(leaseUntilMs = 50))), TaskState.REFUSED),
        ),
        Case(
            "a task that is larger than the worker's capacity is refused",
            Step(0, WorkerCommands(listOf(start.copy(size = Resources(1, 1_001)))), TaskState.REFUSED),
        ),
        Case(
            "a second task without free capacity is refused",
            Step(0, WorkerCommands(listOf(start, start.copy(task = second))), TaskState.RUNNING, TaskState.REFUSED),
        ),
        Case(
            "capacity that a task released is used again",
            Step(0, starts, TaskState.RUNNING),
            Step(
                60,
                WorkerCommands(listOf(start.copy(task = second))),
                TaskState.RUNNING,
                TaskState.SUCCEEDED,
            ),
        ),
        Case(
            "a second start of the same task has no effect",
            Step(0, starts, TaskState.RUNNING),
            Step(40, starts, TaskState.RUNNING),
            Step(50, starts, TaskState.SUCCEEDED),
            Step(51, WorkerCommands(listOf(start), acknowledged = listOf(first))),
        ),
        Case(
            "a task without renewal ends with its lease",
            Step(0, longStarts, TaskState.RUNNING),
            Step(199, heartbeat, TaskState.RUNNING),
            Step(200, renewal(untilMs = 400), TaskState.LEASE_EXPIRED),
        ),
        Case(
            "a renewal extends the lease and a shorter one does not end it",
            Step(0, longStarts, TaskState.RUNNING),
            Step(150, renewal(untilMs = 400), TaskState.RUNNING),
            Step(151, renewal(untilMs = 160), TaskState.RUNNING),
            Step(399, heartbeat, TaskState.RUNNING),
            Step(400, heartbeat, TaskState.LEASE_EXPIRED),
        ),
        Case(
            "an order to stop takes the stop time and only the first order has an effect",
            Step(0, starts, TaskState.RUNNING),
            Step(10, stop, TaskState.RUNNING),
            Step(15, checkpoint, TaskState.RUNNING),
            Step(30, heartbeat, TaskState.STOPPED),
        ),
        Case(
            "an order to checkpoint",
            Step(0, starts, TaskState.RUNNING),
            Step(10, checkpoint, TaskState.RUNNING),
            Step(30, heartbeat, TaskState.CHECKPOINTED),
        ),
        Case(
            "a throttled task takes twice the remaining time",
            Step(0, starts, TaskState.RUNNING),
            Step(10, throttle, TaskState.RUNNING),
            Step(20, throttle, TaskState.RUNNING),
            Step(89, heartbeat, TaskState.RUNNING),
            Step(90, heartbeat, TaskState.SUCCEEDED),
        ),
        Case(
            "a task with an unlimited run time keeps running, throttled or not",
            Step(1, WorkerCommands(listOf(start.copy(runMs = Long.MAX_VALUE))), TaskState.RUNNING),
            Step(10, throttle, TaskState.RUNNING),
            Step(199, heartbeat, TaskState.RUNNING),
        ),
        Case(
            "a task with the payload fail ends as failed",
            Step(0, WorkerCommands(listOf(start.copy(payload = "fail now"))), TaskState.RUNNING),
            Step(50, heartbeat, TaskState.FAILED),
        ),
        Case(
            "an ended task is reported until it is acknowledged, a running one in any case",
            Step(0, starts, TaskState.RUNNING),
            Step(10, acknowledgement, TaskState.RUNNING),
            Step(5_000, heartbeat, TaskState.SUCCEEDED),
            Step(5_001, acknowledgement),
        ),
    )

    @TestFactory
    fun `tasks obey their deadlines and orders`(): List<DynamicTest> = cases.map { case ->
        dynamicTest(case.name) {
            val tasks = tasks()
            case.steps.forEach {
                nowMs = it.atMs
                assertEquals(
                    it.expected.toList(),
                    tasks.execute(it.commands).tasks.map(TaskStatus::state),
                    "${it.atMs}",
                )
            }
        }
    }

    @Test
    fun `an ended task is recorded with the time of its deadline, not that of the next call`() {
        val tasks = tasks()
        tasks.execute(longStarts)
        nowMs = 9_000
        val record = tasks.records(CallCounts()).tasks.single()
        assertEquals(200L to TaskState.LEASE_EXPIRED, record.endedAtMs to record.ending)
    }

    @Test
    fun `a task fails immediately while the worker fails every task`() {
        failsTasks = true
        assertEquals(TaskState.FAILED, tasks().execute(starts).tasks.single().state)
    }

    @Test
    fun `a restarted worker has lost its tasks and can run them again`() {
        val tasks = tasks()
        tasks.execute(starts)
        tasks.restart()
        assertEquals(emptyList<TaskStatus>(), tasks.execute(heartbeat).tasks)
        assertEquals(TaskState.RUNNING, tasks.execute(starts).tasks.single().state)
    }

    @Test
    fun `usage is reported after the lag and recorded immediately`() {
        val tasks = tasks()
        val overusing = start.copy(payload = "use=150%")
        assertEquals(Resources.NONE, tasks.execute(WorkerCommands(listOf(overusing))).tasks.single().used)
        nowMs = 5
        assertEquals(Resources(900, 900), tasks.execute(throttle).tasks.single().used)
        nowMs = 15
        assertEquals(Resources(450, 900), tasks.execute(heartbeat).tasks.single().used)
        assertEquals(Resources(900, 900), tasks.records(CallCounts()).highestUse)
    }

    private fun tasks(): WorkerTasks {
        nowMs = 0
        val plan = WorkerPlan("w", "a", "r", Resources(1_000, 1_000), usageLagMs = 5, stopMs = 20)
        return WorkerTasks(plan, { nowMs }) { failsTasks }
    }
}
