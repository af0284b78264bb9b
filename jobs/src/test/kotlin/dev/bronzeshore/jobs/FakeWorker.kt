/** In-memory worker that follows the lease rules and records what ran. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskStart
import dev.bronzeshore.core.TaskState
import dev.bronzeshore.core.TaskStatus
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmRole
import dev.bronzeshore.core.WorkerCommands
import dev.bronzeshore.core.WorkerReport

internal class FakeWorker(id: String, private val clock: ClockMs) {
    val vm = Vm(id, VmRole.WORKER, "ridge", "rack-1", id, capacity = Resources(4_000, 4_000))

    private class Run(val start: TaskStart, val startedAtMs: Long) {
        var state = TaskState.RUNNING
        var leaseUntilMs = start.leaseUntilMs
        var endedAtMs = Long.MAX_VALUE
    }

    private val runs = LinkedHashMap<TaskId, Run>()
    var isUnreachable = false

    /** Drops the responses of calls that took effect. */
    var losesResponses = false
    val startedTasks = mutableListOf<TaskId>()

    /** For each task that ran here, its start and end time. */
    val intervals = mutableListOf<Triple<TaskId, Long, Long>>()

    fun call(commands: WorkerCommands): Either<Fault, WorkerReport> {
        if (isUnreachable) return Fault(ResultCode.NO_ENDPOINT, "unreachable").left()
        commands.starts.forEach(::start)
        commands.renewals.forEach { runs[it.task]?.leaseUntilMs = it.leaseUntilMs }
        commands.orders.forEach { order -> runs[order.task]?.let { end(it, TaskState.STOPPED) } }
        advance()
        val statuses = runs.map { (task, run) ->
            TaskStatus(task, run.state, run.startedAtMs, run.leaseUntilMs, output = "done:${run.start.payload}")
        }
        commands.acknowledged.forEach(runs::remove)
        val report = WorkerReport(vm.id, clock(), vm.capacity, statuses)
        return if (losesResponses) Fault(ResultCode.OUTCOME_UNKNOWN, "lost response").left() else report.right()
    }

    /** Updates the tasks to the current time; called before [intervals] are read. */
    fun advance() = runs.values.forEach { run ->
        val workEndsAtMs = run.startedAtMs + run.start.runMs
        when {
            clock() > run.leaseUntilMs && workEndsAtMs > run.leaseUntilMs -> end(
                run,
                TaskState.LEASE_EXPIRED,
                run.leaseUntilMs,
            )
            clock() >= workEndsAtMs -> end(
                run,
                if (run.start.payload ==
                    "fail"
                ) {
                    TaskState.FAILED
                } else {
                    TaskState.SUCCEEDED
                },
            )
        }
    }

    private fun start(start: TaskStart) {
        if (start.task in runs) return
        val run = Run(start, clock())
        if (clock() > start.startBeforeMs) run.state = TaskState.REFUSED else startedTasks += start.task
        runs[start.task] = run
    }

    private fun end(run: Run, state: TaskState, atMs: Long = clock()) {
        if (run.state != TaskState.RUNNING) return
        run.state = state
        run.endedAtMs = atMs
        intervals += Triple(run.start.task, run.startedAtMs, atMs)
    }
}
