/**
 * Sends start orders and settles their outcome.
 *
 * An order that got no answer is repeated for the same run at the same worker, where a repeat has no second effect.
 * Each order expires after a short time on the worker's clock, so that one which is carried out late is refused.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.StartOrder
import dev.bronzeshore.core.cluster.StartResult
import dev.bronzeshore.core.cluster.TaskRun
import kotlinx.coroutines.launch

/** A worker carries out an order within milliseconds; the time covers two lost answers and an error of its clock. */
private const val START_VALID_MS = 1_000L
private const val MAX_SENDS = 3

/** Pause before a task whose order was refused is placed again. */
private const val REFUSED_PAUSE_MS = 150L

/** Nothing is started for this time on a worker that refused an order as unhealthy or full. */
private const val WORKER_PAUSE_MS = 500L

/** A planned start. */
internal data class PlannedStart(val task: TrackedTask, val worker: TrackedWorker, val run: Long, val ticket: String?)

internal class TaskStarter(private val context: TermContext, private val stopper: RunStopper) {
    /** Takes the room at once and sends the order. */
    fun start(planned: PlannedStart) {
        val task = planned.task
        val run = TaskRun(task.name, planned.run)
        val placement = Placement(task, planned.worker, run, context.clock())
        check(task.placement == null) { "task ${task.name} has a run already" }
        check(!task.isDone) { "task ${task.name} is done" }
        task.placement = placement
        task.lastRun = planned.run
        planned.worker.add(placement)
        context.scope.launch { send(placement, planned.ticket) }
    }

    private suspend fun send(placement: Placement, ticket: String?) {
        var isUncertain = false
        repeat(MAX_SENDS) {
            if (placement.worker.placement(placement.run) !== placement ||
                placement.state != PlacementState.ORDERED
            ) {
                return
            }
            val answer = context.calls.start(placement.worker.entry, orderFor(placement, ticket))
            if (answer.result != StartResult.UNKNOWN) return settle(placement, answer.result, isUncertain)
            isUncertain = true
            suspect(placement.worker)
        }
        context.log.event(
            "start_uncertain",
            "task" to placement.run.task,
            "run" to placement.run.run,
            "worker" to placement.worker.id,
        )
        context.metrics.start(StartResult.UNKNOWN.name)
        if (placement.task.step.description.isGang) stopGang(placement.task.step, "a member's start got no answer")
    }

    private fun orderFor(placement: Placement, ticket: String?): StartOrder {
        val worker = placement.worker
        val validUntil = worker.clock.nowOnWorker(context.clock()) + START_VALID_MS
        placement.orderSent(validUntil)
        worker.clock.extendLease(validUntil)
        return StartOrder(
            placement.run,
            placement.task.step.job.accepted.description.payload,
            validUntil,
            context.term,
            placement.task.checkpoint,
            ticket,
        )
    }

    private suspend fun settle(placement: Placement, result: StartResult, isUncertain: Boolean) {
        context.metrics.start(result.name)
        context.log.event(
            "start",
            "task" to placement.run.task,
            "run" to placement.run.run,
            "worker" to placement.worker.id,
            "result" to result,
        )
        if (result == StartResult.STARTED) return started(placement)
        react(placement, result)
        // An earlier order without an answer may have been carried out: a report of the worker settles it.
        if (isUncertain || placement.worker.placement(placement.run) !== placement) return
        if (placement.state == PlacementState.STOPPING) return
        placement.worker.remove(placement)
        placement.task.notBeforeMs = context.clock() + REFUSED_PAUSE_MS
        if (placement.task.step.description.isGang) stopGang(placement.task.step, "a member was refused: $result")
        context.wakePlanner()
    }

    private fun started(placement: Placement) {
        placement.task.hasStarted = true
        if (placement.state != PlacementState.ORDERED) return
        placement.state = PlacementState.RUNNING
        placement.confirmedAtMs = context.clock()
    }

    private suspend fun react(placement: Placement, result: StartResult) = when (result) {
        StartResult.FENCED -> context.onLeadershipLost()
        StartResult.BAD_TICKET -> placement.task.step.advice.expire(placement.worker.life)
        StartResult.UNHEALTHY, StartResult.NO_ROOM -> pause(placement.worker)
        StartResult.NOT_SENT, StartResult.OTHER_WORKER -> suspect(placement.worker)
        else -> Unit
    }

    private fun suspect(worker: TrackedWorker) {
        if (worker.isSuspect) return
        worker.isSuspect = true
        context.scope.launch { worker.probe() }
    }

    private fun pause(worker: TrackedWorker) {
        worker.quarantinedUntilMs = maxOf(worker.quarantinedUntilMs, context.clock() + WORKER_PAUSE_MS)
    }

    private fun stopGang(step: TrackedStep, reason: String) =
        step.tasks.mapNotNull { it.placement }.forEach { stopper.stop(it, reason) }
}
