/** Tasks of a worker: start conditions, leases, orders and ends. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskStart
import dev.bronzeshore.core.TaskState
import dev.bronzeshore.core.TaskStatus
import dev.bronzeshore.core.WorkerCommands
import dev.bronzeshore.core.WorkerReport

/**
 * Tasks of one worker. Thread-safe.
 *
 * Uses no timers: each call first ends the tasks whose deadlines have passed, with the deadline as the end time.
 */
internal class WorkerTasks(
    private val plan: WorkerPlan,
    private val clock: ClockMs,
    private val failsTasks: () -> Boolean,
) {
    private val knownTaskIds = HashSet<TaskId>()
    private val running = LinkedHashMap<TaskId, TaskRun>()
    private val ended = LinkedHashMap<TaskId, TaskStatus>()
    private val endedRecords = mutableListOf<TaskRecord>()
    private var highestUse = Resources.NONE
    private var highestGiven = Resources.NONE

    /** Executes the commands and reports the resulting state. */
    @Synchronized
    fun execute(commands: WorkerCommands): WorkerReport {
        val nowMs = clock()
        endDueTasks(nowMs)
        commands.renewals.forEach { running[it.task]?.renew(it.leaseUntilMs) }
        commands.orders.forEach { running[it.task]?.order(it.action, nowMs, plan.stopMs) }
        commands.acknowledged.forEach { ended.remove(it) }
        endDueTasks(nowMs)
        commands.starts.forEach {
            start(it, nowMs)
            endDueTasks(nowMs)
        }
        val tasks = running.values.map { status(it, nowMs) } + ended.values
        return WorkerReport(plan.id, nowMs, plan.capacity, tasks)
    }

    /** Discards running, ended and known tasks, as a restart of the VM does; records are kept. */
    @Synchronized
    fun restart() {
        val nowMs = clock()
        endDueTasks(nowMs)
        running.values.forEach { endedRecords += record(it, nowMs, TaskState.STOPPED) }
        running.clear()
        ended.clear()
        knownTaskIds.clear()
    }

    @Synchronized
    fun records(calls: CallCounts): ServerRecords {
        endDueTasks(clock())
        return ServerRecords(
            plan.id,
            ServerRole.WORKER,
            calls,
            plan.capacity,
            highestUse,
            highestGiven,
            tasks = endedRecords + running.values.map { record(it, null, null) },
        )
    }

    private fun start(start: TaskStart, nowMs: Long) {
        if (!knownTaskIds.add(start.task)) return
        val inUse = total { it.use }
        val refusal = when {
            nowMs > start.startBeforeMs || nowMs >= start.leaseUntilMs -> Refusal.LATE
            !(inUse + start.size).fitsIn(plan.capacity) -> Refusal.NO_ROOM
            else -> null
        }
        if (refusal != null) return refuse(start, refusal, nowMs)
        running[start.task] = TaskRun(start, nowMs, plan.usageOf(start), failsTasks())
        highestUse = componentwiseMax(highestUse, total { it.use })
        highestGiven = componentwiseMax(highestGiven, total { it.start.size })
    }

    private fun refuse(start: TaskStart, refusal: Refusal, nowMs: Long) {
        val id = start.task
        ended[id] = TaskStatus(id, TaskState.REFUSED, nowMs, start.leaseUntilMs, output = refusal.name)
        endedRecords += TaskRecord(
            id,
            plan.id,
            start.kind,
            start.size,
            nowMs,
            uses = emptyList(),
            nowMs,
            TaskState.REFUSED,
            refusal,
        )
    }

    private fun endDueTasks(nowMs: Long) {
        val due = running.values.filter { it.endsAtMs <= nowMs }.sortedBy { it.endsAtMs }
        due.forEach {
            val id = it.start.task
            val output = if (it.endsAs == TaskState.SUCCEEDED) "done:" + it.start.payload else ""
            running.remove(id)
            ended[id] = TaskStatus(id, it.endsAs, it.startedAtMs, it.leaseUntilMs, output = output)
            endedRecords += record(it, it.endsAtMs, it.endsAs)
        }
    }

    private fun status(run: TaskRun, nowMs: Long): TaskStatus {
        val reportedUse = run.uses.lastOrNull { it.sinceMs <= nowMs - plan.usageLagMs }?.used ?: Resources.NONE
        return TaskStatus(run.start.task, TaskState.RUNNING, run.startedAtMs, run.leaseUntilMs, reportedUse)
    }

    private fun record(run: TaskRun, endedAtMs: Long?, ending: TaskState?): TaskRecord = TaskRecord(
        run.start.task,
        plan.id,
        run.start.kind,
        run.start.size,
        run.startedAtMs,
        run.uses,
        endedAtMs,
        ending,
    )

    private fun total(amount: (TaskRun) -> Resources): Resources =
        running.values.fold(Resources.NONE) { sum, run -> sum + amount(run) }
}

private fun componentwiseMax(one: Resources, other: Resources): Resources = Resources(
    maxOf(one.processorsMillicores, other.processorsMillicores),
    maxOf(one.memoryBytes, other.memoryBytes),
    maxOf(one.accelerators, other.accelerators),
)
