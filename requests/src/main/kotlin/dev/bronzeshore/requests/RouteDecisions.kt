/** Routing decisions for a single request, all taken on the control thread. */
package dev.bronzeshore.requests

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import kotlinx.coroutines.CompletableDeferred

/** A request that is waiting or has a slot; [decision] completes when it gets a slot or is refused. */
internal class Admission(request: IncomingRequest, startBeforeMs: Long) {
    val decision = CompletableDeferred<AdmissionDecision>()

    /** The slot once the request is started; used on the control thread only. */
    var lease: SlotLease? = null
        private set
    val queued: QueuedRequest =
        QueuedRequest(request.plan, request.kind, request.service, startBeforeMs) {
            lease = (it as? AdmissionDecision.Start)?.lease
            decision.complete(it)
        }
}

/** The router's decisions and shared state that each request uses. Used on the control thread only: not thread-safe. */
internal class RouteDecisions(
    val clock: ClockMs,
    private val queue: AdmissionQueue,
    private val latency: LatencyTracker,
    private val retries: RetryBudget,
    private val limits: RouterLimits,
    private val onNoFreeSlot: () -> Unit,
) {
    /** Latest time at which a request that arrives now may start. */
    fun startBeforeMs(request: IncomingRequest): Long = request.startBeforeMs ?: (clock() + limits.maxWaitMs)

    fun admit(request: IncomingRequest, startBeforeMs: Long, attempt: Int): Either<Fault, Admission> {
        val admission = Admission(request, startBeforeMs)
        val fault = if (attempt == 1) queue.enqueue(admission.queued) else queue.requeue(admission.queued)
        if (fault != null) return fault.left()
        if (admission.queued.state == QueuedState.WAITING) onNoFreeSlot()
        return admission.right()
    }

    /** Removes the request from the queue or releases its slot, also if the caller has not received the decision. */
    fun cancel(admission: Admission) {
        if (queue.cancel(admission.queued)) return
        admission.lease?.let { queue.release(admission.queued, it) }
    }

    /** Records the result of an attempt and releases its slot. */
    fun recordAttemptEnd(admission: Admission, lease: SlotLease, sentAtMs: Long, end: AttemptEnd) {
        when (end) {
            is AttemptEnd.Answered -> {
                latency.recordResponse(lease.endpointId, end.firstByteAtMs - sentAtMs)
                retries.recordSuccess()
            }

            is AttemptEnd.NotSent -> if (!end.isReachable) latency.recordFailure(lease.endpointId)

            is AttemptEnd.Unanswered -> latency.recordFailure(lease.endpointId)

            is AttemptEnd.AnswerBroken, is AttemptEnd.CallerGone -> Unit
        }
        queue.release(admission.queued, lease)
    }

    /** Whether another attempt may follow one that ended without a response. */
    fun canRetry(request: IncomingRequest, body: ReplayableBody, end: AttemptEnd, attempts: Int): Boolean = when {
        attempts >= limits.maxAttempts -> false

        // Nothing was sent: the request did not run and put no load on an endpoint, so no retry budget is needed.
        end is AttemptEnd.NotSent -> body.isReplayable

        end is AttemptEnd.Unanswered -> request.idempotent && body.isReplayable && retries.tryAcquire()

        else -> false
    }

    /** The fault of a request whose last attempt ended with [end]; [mayHaveRun] covers all its attempts. */
    fun faultOf(end: AttemptEnd, mayHaveRun: Boolean): Fault {
        val reason =
            when (end) {
                is AttemptEnd.NotSent -> end.reason
                is AttemptEnd.Unanswered -> end.reason
                is AttemptEnd.AnswerBroken -> end.reason
                is AttemptEnd.CallerGone -> end.reason
                is AttemptEnd.Answered -> error("an answered request has no fault")
            }
        val code = if (mayHaveRun) ResultCode.OUTCOME_UNKNOWN else ResultCode.NO_ENDPOINT
        return code.toFault(reason)
    }
}
