/** Execution of one request: admission, attempts and retries. */
package dev.bronzeshore.requests

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.ResultCode
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

/** Runs one request; decisions run on [control], data is transferred in the caller's coroutine context. */
internal class RoutedRequest(
    private val request: IncomingRequest,
    private val responder: Responder,
    private val control: CoroutineDispatcher,
    private val proxy: RequestProxy,
    private val decisions: RouteDecisions,
) {
    private val body = ReplayableBody(request.body, request.contentLength, retain = request.idempotent)
    private val startBeforeMs = decisions.startBeforeMs(request)
    private var waitedMs = 0L
    private var attempts = 0

    /** True once an attempt may have reached an endpoint; the outcome `NOT_RUN` must then not be reported. */
    private var mayHaveRun = false

    suspend fun run(): Either<Fault, RouteReport> {
        while (true) {
            attempts++
            val admission =
                onControlThread { decisions.admit(request, startBeforeMs, attempts) }
                    .getOrElse { return adjustOutcome(it).left() }
            val result = attempt(admission)
            if (result != null) return result.mapLeft { adjustOutcome(it) }
        }
    }

    /** Returns null if the request has to be attempted again. */
    private suspend fun attempt(admission: Admission): Either<Fault, RouteReport>? {
        var openAdmission: Admission? = admission
        try {
            val queuedAtMs = decisions.clock()
            val lease =
                when (val decision = admission.decision.await()) {
                    is AdmissionDecision.Refused -> return decision.fault.left()
                    is AdmissionDecision.Start -> decision.lease
                }
            val sentAtMs = decisions.clock()
            waitedMs += sentAtMs - queuedAtMs
            if (sentAtMs > startBeforeMs) return ResultCode.DEADLINE_PASSED.toFault().left()
            val sendByMs = minOf(startBeforeMs, lease.sendBeforeMs - 1)
            val end = proxy.attempt(lease.address, request, body, sendByMs) { head, writeBody ->
                responder(head.withRoute(lease.endpointId, waitedMs), writeBody)
            }
            if (end !is AttemptEnd.NotSent) mayHaveRun = true
            return onControlThread {
                openAdmission = null
                decisions.recordAttemptEnd(admission, lease, sentAtMs, end)
                resultOf(lease, end)
            }
        } finally {
            openAdmission?.let { onControlThread { decisions.cancel(it) } }
        }
    }

    /**
     * Decides on the control thread, also for a cancelled caller. The contexts are nested because a single call with
     * both would discard the result, and with it the slot, if the caller is cancelled before it resumes.
     */
    private suspend fun <T> onControlThread(decide: () -> T): T =
        withContext(NonCancellable) { withContext(control) { decide() } }

    private fun resultOf(lease: SlotLease, end: AttemptEnd): Either<Fault, RouteReport>? = when {
        end is AttemptEnd.Answered -> RouteReport(lease.endpointId, end.status, waitedMs, attempts).right()
        decisions.canRetry(request, body, end, attempts) -> null
        else -> decisions.faultOf(end, mayHaveRun).left()
    }

    /** Replaces a fault with outcome `NOT_RUN` if an earlier attempt may have run. */
    private fun adjustOutcome(fault: Fault): Fault {
        if (!mayHaveRun || fault.code.outcome != Outcome.NOT_RUN) return fault
        return ResultCode.OUTCOME_UNKNOWN.toFault("then ${fault.code.number}: ${fault.message}")
    }
}
