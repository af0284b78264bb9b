/** Sends the placer's decisions to workers and processes their reports. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.Decisions
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Preemption
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TASK_LEASE_MS
import dev.bronzeshore.core.TaskOrder
import dev.bronzeshore.core.TaskRenewal
import dev.bronzeshore.core.TaskStart
import dev.bronzeshore.core.WorkerCommands
import dev.bronzeshore.core.WorkerReport
import kotlinx.coroutines.launch

/** Range of attempt numbers of one term; ranges do not overlap, so a new owner cannot reuse a number. */
private const val ATTEMPTS_PER_TERM = 1_000_000L

/** Leases are renewed after a third of their duration; renewal with each heartbeat would send five times the bytes. */
private const val RENEW_BELOW_MS = TASK_LEASE_MS * 2 / 3

/** Consecutive failed calls after which a worker gets no new work. */
private const val FAILED_CALLS_LIMIT = 2

internal class TaskDispatcher(
    private val context: JobsContext,
    private val tracker: JobTracker,
    private val sessions: WorkerSessions,
) {
    /** Executes one round of decisions. Starts are sent only while this process may act as owner. */
    fun dispatch(decisions: Decisions) {
        decisions.refusals.forEach { refusal ->
            tracker.find(refusal.jobId)?.let { tracker.refuse(it, refusal.fault.code) }
        }
        decisions.preemptions.forEach(::preempt)
        decisions.placements.groupBy { it.workerId }.forEach { (workerId, placements) ->
            val starts = placements.mapNotNull(::prepareStart)
            val session = sessions.find(workerId)
            if (session != null && starts.isNotEmpty()) context.scope.launch { sendStarts(session, starts) }
        }
        decisions.preemptions.map { it.workerId }.distinct().mapNotNull(sessions::find).forEach { session ->
            context.scope.launch { exchange(session, starts = emptyList()) }
        }
    }

    private fun preempt(preemption: Preemption) {
        val job = tracker.find(preemption.jobId) ?: return
        val task = job.taskId(job.parts[preemption.part])
        sessions.find(preemption.workerId)?.addOrder(TaskOrder(task, preemption.action))
        context.callbacks.onPreemption(preemption.jobId, preemption.part, preemption.workerId)
        context.log.info { "Stopped part ${preemption.part} of job ${preemption.jobId} for more urgent work." }
    }

    private fun prepareStart(placement: Placement): TaskStart? {
        val job = tracker.find(placement.jobId) ?: return null
        val part = job.parts[placement.part]
        check(part.state == PartState.PENDING) { "part ${part.index} of ${job.jobId} placed while ${part.state}" }
        val session = sessions.find(placement.workerId)
        if (session == null) {
            tracker.requeue(job, part.apply { workerId = placement.workerId })
            return null
        }
        part.state = PartState.STARTING
        part.workerId = placement.workerId
        session.assign(job, part)
        part.attempt = context.authority.term * ATTEMPTS_PER_TERM + context.authority.nextAttempt()
        part.startBeforeMs = minOf(context.authority.actUntilMs(), job.toWorkItem().startBeforeMs ?: Long.MAX_VALUE)
        part.leaseUntilMs = context.clock() + TASK_LEASE_MS
        session.lastLeaseUntilMs = maxOf(session.lastLeaseUntilMs, part.leaseUntilMs)
        return createTaskStart(job, part)
    }

    private fun createTaskStart(job: TrackedJob, part: TrackedPart) = TaskStart(
        task = job.taskId(part),
        size = job.record.submission.size,
        kind = job.kind.name,
        payload = job.record.submission.payload,
        startBeforeMs = part.startBeforeMs,
        leaseUntilMs = part.leaseUntilMs,
        runMs = job.record.submission.declaredRunMs,
    )

    private suspend fun sendStarts(session: WorkerSession, starts: List<TaskStart>) {
        val fault =
            if (context.mayAct()) exchange(session, starts) else Fault(ResultCode.NOT_OWNER, "The lease ran out.")
        if (fault != null && fault.code.outcome == Outcome.NOT_RUN) {
            starts.forEach { start ->
                val job = tracker.find(start.task.jobId)
                val part = job?.parts?.get(start.task.part)
                val isCurrent = part?.state == PartState.STARTING && part.attempt == start.task.attempt
                if (job != null && part != null && isCurrent) tracker.requeue(job, part)
            }
        }
    }

    /** Renews the leases that are due on a worker and processes its report. */
    suspend fun heartbeat(session: WorkerSession) {
        if (context.mayAct()) exchange(session, starts = emptyList(), renewals = renewalsFor(session))
    }

    /** A worker that does not respond gets no renewals, so that its leases end and its parts can start elsewhere. */
    private fun renewalsFor(session: WorkerSession): List<TaskRenewal> {
        if (session.failedCalls >= FAILED_CALLS_LIMIT) return emptyList()
        val leaseUntilMs = context.clock() + TASK_LEASE_MS
        val parts = session.parts().filter { (_, part) -> part.leaseUntilMs - context.clock() < RENEW_BELOW_MS }
        if (parts.isNotEmpty()) session.lastLeaseUntilMs = maxOf(session.lastLeaseUntilMs, leaseUntilMs)
        return parts.map {
            it.part.leaseUntilMs = leaseUntilMs
            TaskRenewal(it.job.taskId(it.part), leaseUntilMs)
        }
    }

    private suspend fun exchange(
        session: WorkerSession,
        starts: List<TaskStart>,
        renewals: List<TaskRenewal> = emptyList(),
    ): Fault? {
        val orders = session.pendingOrders()
        val acknowledged = session.pendingAcknowledgements()
        val commands = WorkerCommands(starts, renewals, orders, acknowledged)
        return context.workerApi(session.vm.address, commands).fold(
            { fault ->
                onFailedCall(session)
                fault
            },
            { report ->
                session.markDelivered(orders, acknowledged)
                onReport(session, report)
                null
            },
        )
    }

    private fun onFailedCall(session: WorkerSession) {
        session.failedCalls++
        if (session.failedCalls >= FAILED_CALLS_LIMIT) session.isResponsive = false
        sessions.publish(session)
    }

    private fun onReport(session: WorkerSession, report: WorkerReport) {
        session.failedCalls = 0
        val isFromThisTerm = report.observedAtMs > context.authority.previousEffectsUntilMs + MAX_CLOCK_SKEW_MS
        if (!isFromThisTerm || report.observedAtMs < session.observedAtMs) return
        session.observedAtMs = report.observedAtMs
        session.reportedCapacity = report.capacity
        session.isResponsive = true
        report.tasks.forEach { tracker.onStatus(session.workerId, it) }
        handleUnlistedParts(session, report)
        sessions.publish(session)
    }

    /**
     * Handles parts that the report does not list although the worker can no longer accept their start.
     *
     * A part that is still starting did not start and is requeued; any other part is lost.
     */
    private fun handleUnlistedParts(session: WorkerSession, report: WorkerReport) {
        val listed = report.tasks.mapTo(HashSet()) { it.task }
        session.parts().filter {
            report.observedAtMs > it.part.startBeforeMs + MAX_CLOCK_SKEW_MS
        }.forEach { (job, part) ->
            val task = job.taskId(part)
            when {
                task in listed -> Unit
                part.state == PartState.STARTING -> tracker.requeue(job, part)
                else -> tracker.onPartLost(job, part, task)
            }
        }
    }

    /** Handles parts as lost once their leases have ended without a response from their worker. */
    fun handleExpiredLeases() {
        val now = context.clock()
        sessions.all.toList().flatMap { it.parts() }
            .filter { (_, part) -> part.isOnWorker && now > part.leaseUntilMs + 2 * MAX_CLOCK_SKEW_MS }
            .forEach { (job, part) -> tracker.onPartLost(job, part, job.taskId(part)) }
    }
}
