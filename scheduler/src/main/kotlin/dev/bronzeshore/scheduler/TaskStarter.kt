/**
 * Sends start requests and handles their results.
 *
 * A request without a response is repeated for the same run on the same worker, where start requests are idempotent.
 * Each request expires after a short time on the worker's clock, so that a worker refuses one that arrives late.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.StartAnswer
import dev.bronzeshore.core.cluster.StartRequest
import dev.bronzeshore.core.cluster.StartResult
import dev.bronzeshore.core.cluster.TaskRun

/** A worker handles a start request within milliseconds; the time covers two lost responses and clock error. */
internal const val START_VALIDITY_MS = 1_000L
private const val MAX_SEND_ATTEMPTS = 3

/** Pause before a task whose start was refused is placed again. */
private const val REFUSED_PAUSE_MS = 150L

/** Time for which nothing starts on a worker that refused a start as unhealthy or full. */
private const val WORKER_PAUSE_MS = 500L

internal data class PlannedStart(val task: TrackedTask, val worker: TrackedWorker, val run: Long, val ticket: String?)

internal class TaskStarter(
    private val context: TermContext,
    private val stopper: RunStopper,
    private val trials: CrashTrials,
) {
    /** Allocates capacity for the run at once and sends the start request in the background. */
    fun start(planned: PlannedStart) {
        val task = planned.task
        val run = TaskRun(task.name, planned.run)
        val placement = Placement(task, planned.worker, run, context.clock())
        check(task.placement == null) { "task ${task.name} has a run already" }
        check(!task.isDone) { "task ${task.name} is done" }
        task.placement = placement
        task.lastRun = planned.run
        planned.worker.add(placement)
        context.launchGuarded("start") { send(placement, planned.ticket) }
    }

    private suspend fun send(placement: Placement, ticket: String?) {
        var isUncertain = false
        repeat(MAX_SEND_ATTEMPTS) {
            if (placement.worker.placement(placement.run) !== placement ||
                placement.state != PlacementState.ORDERED
            ) {
                return
            }
            // A start is a short lease. It is valid from before the check, so that a pause after it extends nothing.
            val sentAtMs = context.clock()
            if (!context.authority.mayGrantLeases()) return giveUpAttempts(placement, isUncertain)
            val answer = context.calls.start(placement.worker.entry, requestFor(placement, ticket, sentAtMs))
            if (answer.result != StartResult.UNKNOWN) return handleAnswer(placement, answer, isUncertain)
            isUncertain = true
            context.log.event(
                "start_unanswered",
                "task" to placement.run.task,
                "run" to placement.run.run,
                "worker" to placement.worker.id,
            )
            probeSuspect(placement.worker)
        }
        giveUpAttempts(placement, isUncertain)
    }

    /** The worker's next report tells of a start that was sent; one that was not sent is planned again. */
    private fun giveUpAttempts(placement: Placement, isUncertain: Boolean) {
        if (!isUncertain) return release(placement, "a member was not started")
        context.log.event(
            "start_uncertain",
            "task" to placement.run.task,
            "run" to placement.run.run,
            "worker" to placement.worker.id,
        )
        context.metrics.start(StartResult.UNKNOWN.name)
        if (placement.task.step.description.isGang) stopGang(placement.task.step, "a member's start got no answer")
    }

    /** The run does not exist: its task waits for another start. */
    private fun release(placement: Placement, reason: String) {
        placement.worker.remove(placement)
        placement.task.notBeforeMs = context.clock() + REFUSED_PAUSE_MS
        if (placement.task.step.description.isGang) stopGang(placement.task.step, reason)
        context.wakePlanner()
    }

    private fun requestFor(placement: Placement, ticket: String?, sentAtMs: Long): StartRequest {
        val worker = placement.worker
        val validUntil = worker.clock.nowOnWorker(sentAtMs) + START_VALIDITY_MS
        placement.extendValidity(validUntil)
        worker.clock.extendLease(validUntil)
        return StartRequest(
            placement.run,
            placement.task.step.job.accepted.description.payload,
            validUntil,
            context.term,
            placement.task.checkpoint,
            ticket,
        )
    }

    private suspend fun handleAnswer(placement: Placement, answer: StartAnswer, isUncertain: Boolean) {
        val result = answer.result
        answer.workerClockMs?.let { placement.worker.recordAnswer(it) }
        context.metrics.start(result.name)
        context.log.event(
            "start",
            "task" to placement.run.task,
            "run" to placement.run.run,
            "worker" to placement.worker.id,
            "result" to result,
        )
        if (result == StartResult.STARTED) return markStarted(placement, answer.workerClockMs)
        handleRefusal(placement, result)
        // An earlier request without a response may have started the run: the worker's next report tells.
        if (isUncertain || placement.worker.placement(placement.run) !== placement) return
        if (placement.state == PlacementState.STOPPING) return
        release(placement, "a member was refused: $result")
    }

    private fun markStarted(placement: Placement, workerClockMs: Long?) {
        placement.task.hasStarted = true
        if (placement.state != PlacementState.ORDERED) return
        val now = context.clock()
        placement.confirmStart(now, workerClockMs)
        if (placement.task.crashes.isSuspected) trials.requestProof(placement.worker)
        workerClockMs?.let { placement.progress.observe(0, RunEvidence(now, it)) }
    }

    private suspend fun handleRefusal(placement: Placement, result: StartResult) = when (result) {
        StartResult.FENCED -> context.onLeadershipLost()
        StartResult.BAD_TICKET -> placement.task.step.advice.expire(placement.worker.incarnation)
        StartResult.UNHEALTHY, StartResult.NO_ROOM -> pauseWorker(placement.worker)
        StartResult.NOT_SENT, StartResult.OTHER_WORKER -> probeSuspect(placement.worker)
        else -> Unit
    }

    private fun probeSuspect(worker: TrackedWorker) {
        if (worker.isSuspect) return
        worker.isSuspect = true
        context.launchGuarded("probe", onError = { worker.isSuspect = false }) { worker.probe() }
    }

    private fun pauseWorker(worker: TrackedWorker) {
        worker.quarantinedUntilMs = maxOf(worker.quarantinedUntilMs, context.clock() + WORKER_PAUSE_MS)
    }

    private fun stopGang(step: TrackedStep, reason: String) =
        step.tasks.mapNotNull { it.placement }.forEach { stopper.stop(it, reason) }
}
