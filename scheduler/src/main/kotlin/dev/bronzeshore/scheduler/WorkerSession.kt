/**
 * Renews the leases of one worker and receives its reports by long polling.
 *
 * Until the worker has answered this leader, it may accept requests of a former leader; afterwards the fencing token
 * rejects them. Leases are granted for the longest time allowed, so that runs survive a change of the leader, and only
 * while no successor can take them for over.
 *
 * Requests name a worker by its id, which its next incarnation may have too, but a connection ends with the incarnation
 * that accepted it. Ends are acknowledged only on the connection on which this incarnation has reported.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.HoldRequest
import dev.bronzeshore.core.cluster.WorkerConnection
import dev.bronzeshore.core.cluster.WorkerIncarnation
import kotlinx.coroutines.delay

/** Time for which a poll waits for an end; with a longer one, stalled tasks and lost workers are noticed later. */
private const val POLL_WAIT_MS = 1_500L

/** Pause between polls while reported ends cannot be acknowledged yet, as such polls do not wait. */
private const val UNSAVED_END_PAUSE_MS = 60L

/** Pause before a worker that reported an unknown job is polled again; the read of the job may have failed. */
private const val LOOKUP_PAUSE_MS = 20L

private const val RETRY_MS = 150L

internal class WorkerSession(
    private val context: TermContext,
    private val worker: TrackedWorker,
    private val reports: ReportHandler,
    private val jobLookup: JobLookup,
    /** Called when another incarnation answers, with its start time if it has the same id. */
    private val onSuccessor: (TrackedWorker, startedAtMs: Long?) -> Unit,
    /** Called when an attempt to connect was refused. */
    private val onRefused: (TrackedWorker) -> Unit,
) {
    /** Last end that a poll which this incarnation answered has acknowledged. */
    private var confirmedEnd = 0L

    /** The connection of the last report, to this incarnation; null if it takes no further request. */
    private var connection: WorkerConnection? = null

    /** The connection was closed before it could be used; reset by a confirmed acknowledgement. */
    private var wasDisconnected = false

    /** Polls at once, in parallel to a poll that may be waiting; used when a request to the worker failed. */
    suspend fun probe() {
        val requestedAtMs = context.clock()
        when (
            val answer = hold(
                holdRequestAt(requestedAtMs).copy(waitMs = 0, acknowledgedEnd = 0, connection = null),
            )
        ) {
            is HoldAnswer.Report -> when {
                isFromSuccessor(answer) -> onSuccessor(worker, answer.startedAtMs)

                answer.startedAtMs == worker.incarnation.startedAtMs && jobLookup.ensureJobsKnown(answer) ->
                    reports.handle(worker, answer, requestedAtMs)
            }

            else -> markUnreachable()
        }
        worker.isSuspect = false
        context.wakePlanner()
    }

    /** Polls until the worker's incarnation has ended. */
    suspend fun run() {
        while (!worker.isGone) {
            var hasFailed = false
            context.guarded("worker session", onError = { hasFailed = true }) { pollOnce() }
            if (hasFailed) delay(RETRY_MS)
        }
    }

    private suspend fun pollOnce() {
        val requestedAtMs = context.clock()
        val request = holdRequestAt(requestedAtMs)
        val asked = worker.entry
        when (val answer = hold(request)) {
            is HoldAnswer.Report -> handleReport(answer, requestedAtMs, request.acknowledgedEnd)

            is HoldAnswer.Fenced -> {
                context.log.event("fenced", "worker" to worker.id, "term" to context.term)
                context.onLeadershipLost()
                delay(RETRY_MS)
            }

            // Nothing is known of the worker if its address has changed meanwhile.
            is HoldAnswer.OtherWorker -> if (asked.address == worker.entry.address) onSuccessor(worker, null)

            is HoldAnswer.Disconnected -> handleDisconnect()

            is HoldAnswer.Unreachable -> handleFailure(answer, requestedAtMs)
        }
    }

    private suspend fun hold(request: HoldRequest): HoldAnswer {
        context.metrics.workerPoll()
        val sentAtMs = context.authority.workerAnswers.clock()
        val answer = context.calls.hold(worker.entry, request)
        if (answer is HoldAnswer.Report) {
            val answering = WorkerIncarnation(worker.id, answer.startedAtMs)
            context.authority.workerAnswers.record(answering, sentAtMs)
        }
        return answer
    }

    private fun holdRequestAt(now: Long): HoldRequest {
        worker.acknowledge(context.savedChangeNumber, context.changes::isHeld)
        // A poll of an unreachable worker grants no lease: otherwise the leases of a lost worker would never expire.
        val isGranted = worker.clock.isKnown && worker.isReachable && context.authority.mayGrantLeases()
        val leaseUntil = if (isGranted) worker.clock.nowOnWorker(now) + context.bounds.maxLeaseMs else null
        leaseUntil?.let { worker.clock.extendLease(it) }
        val isUnconfirmed = worker.acknowledgedEnd > confirmedEnd
        val isAcknowledging = isUnconfirmed && connection != null && worker.isReachable && !worker.isSuspect
        val mayWait = worker.isContacted && !worker.hasFurtherEnds && worker.unsavedEnds.isEmpty()
        val waitMs = if (mayWait && isAcknowledging == isUnconfirmed) POLL_WAIT_MS else 0
        // Another incarnation under the same id would forget ends of its own, so the connection must be the same.
        return if (isAcknowledging) {
            HoldRequest(context.term, worker.acknowledgedEnd, leaseUntil, waitMs, connection)
        } else {
            HoldRequest(context.term, acknowledgedEnd = 0, leaseUntil, waitMs)
        }
    }

    private suspend fun handleReport(report: HoldAnswer.Report, requestedAtMs: Long, acknowledgedEnd: Long) {
        val startedAtMs = report.startedAtMs
        if (isFromSuccessor(report)) {
            onSuccessor(worker, startedAtMs)
            return delay(RETRY_MS)
        }
        if (startedAtMs != worker.incarnation.startedAtMs) return delay(RETRY_MS)
        if (acknowledgedEnd > confirmedEnd) {
            confirmedEnd = acknowledgedEnd
            wasDisconnected = false
        }
        connection = report.connection
        if (!jobLookup.ensureJobsKnown(report)) return delay(LOOKUP_PAUSE_MS)
        reports.handle(worker, report, requestedAtMs)
        if (worker.unsavedEnds.isNotEmpty() || worker.isSuspect || connection == null) delay(UNSAVED_END_PAUSE_MS)
    }

    /** The next incarnation of the worker answers, which has the same id and address. */
    private fun isFromSuccessor(report: HoldAnswer.Report): Boolean =
        report.startedAtMs > worker.incarnation.startedAtMs

    private fun markUnreachable() {
        if (!worker.isReachable) return
        worker.markUnreachable(context.clock())
        reports.handleSilence(worker)
    }

    /** The next poll opens a connection; the pause is for workers that close each one after their answer. */
    private suspend fun handleDisconnect() {
        connection = null
        if (wasDisconnected) delay(RETRY_MS)
        wasDisconnected = true
    }

    private suspend fun handleFailure(failure: HoldAnswer.Unreachable, requestedAtMs: Long) {
        worker.refusedAtMs = requestedAtMs.takeIf { failure.isRefused }
        if (worker.isReachable) {
            markUnreachable()
            context.wakeJournal()
            context.log.event("worker_unreachable", "worker" to worker.id, "reason" to failure.reason)
        }
        if (failure.isRefused) onRefused(worker)
        delay(RETRY_MS)
    }
}
