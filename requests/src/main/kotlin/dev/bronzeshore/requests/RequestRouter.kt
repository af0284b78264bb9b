/** Routing of callers' requests to endpoints. */
package dev.bronzeshore.requests

import arrow.core.Either
import arrow.core.left
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Limits of [RequestRouter]. */
public data class RouterLimits(
    public val admission: AdmissionLimits = AdmissionLimits(),
    public val maxAttempts: Int = 3,
    /** Maximum time in the queue of a request without [IncomingRequest.startBeforeMs]. */
    public val maxWaitMs: Long = 30_000,
)

/**
 * Admits requests, chooses endpoints and streams requests and responses. Thread-safe: all decisions run on [control],
 * which must be single-threaded.
 *
 * [onSlotShortage] is called on the control thread when a request finds no free slot, at most once per
 * [SLOT_SHORTAGE_PERIOD_MS]; it must not block. It should request slots from the owners at once instead of with the
 * next periodic refresh.
 */
public class RequestRouter(
    private val control: CoroutineDispatcher,
    private val clock: ClockMs,
    private val proxy: RequestProxy,
    random: Random,
    private val limits: RouterLimits = RouterLimits(),
    private val onSlotShortage: () -> Unit = {},
) {
    private val latency = LatencyTracker(clock)
    private val pool = SlotPool(clock, latency, random)
    private val queue = AdmissionQueue(clock, pool, limits.admission)
    private val retries = RetryBudget()
    private val tracker = InFlightTracker()
    private var shortageReportedAtMs = Long.MIN_VALUE / 2

    /** Number of requests that were accepted and have not ended. */
    public val inFlight: Int get() = tracker.inFlight

    /** Replaces the plans with their kinds. */
    public suspend fun configure(plans: List<Plan>): Unit = withContext(control) { queue.configure(plans) }

    /** Applies an owner's response; true means that the next request to the owner should follow at once. */
    public suspend fun apply(dataCentre: String, allotments: Allotments): Boolean = withContext(control) {
        val mustConfirm = pool.apply(dataCentre, allotments)
        queue.slotsChanged()
        mustConfirm
    }

    /** Replaces the set of endpoints that get no new requests; requests in flight there continue. */
    public suspend fun setLeaving(endpointIds: Set<String>): Unit = withContext(control) {
        pool.setLeaving(endpointIds)
        queue.slotsChanged()
    }

    /** Removes the latency estimates of all other endpoints. */
    public suspend fun retainEndpoints(endpointIds: Set<String>): Unit =
        withContext(control) { latency.retain(endpointIds) }

    /** Refuses waiting requests whose latest start has passed; to be called several times a second. */
    public suspend fun tick(): Unit = withContext(control) { queue.tick() }

    /** Demand for slots by service and plan, over all data centres. */
    public suspend fun demand(): List<SlotDemand> = withContext(control) {
        queue.servicePlans().map { key ->
            val inUse = pool.inUse(key.service, key.plan)
            SlotDemand(key.service, key.plan, inUse + unmetDemand(key, inUse), inUse)
        }
    }

    /** Creates the next request to the owner of a data centre. Each owner's request includes all unmet demand. */
    public suspend fun allotmentRequest(dataCentre: String, processId: String): AllotmentRequest =
        withContext(control) {
            val demand =
                queue.servicePlans().map { key ->
                    val inUse = pool.inUse(dataCentre, key.service, key.plan)
                    val unmet = unmetDemand(key, pool.inUse(key.service, key.plan))
                    SlotDemand(key.service, key.plan, inUse + unmet, inUse)
                }
            pool.allotmentRequest(dataCentre, processId, demand)
        }

    /**
     * Streams a request to an endpoint and the endpoint's response to [responder].
     *
     * A fault with outcome `NOT_RUN` means that no byte was sent to any endpoint and the body has not been read. If a
     * fault is returned after [responder] was called, the caller has received a partial response and its connection
     * must be closed. If the calling coroutine is cancelled, the slot is released and the connection to the endpoint is
     * closed.
     */
    public suspend fun route(request: IncomingRequest, responder: Responder): Either<Fault, RouteReport> {
        if (!request.isWellFormed()) return ResultCode.INVALID_VALUE.toFault("method, path or header").left()
        queue.queueFullFault(request.plan, request.kind)?.let { return it.left() }
        if (!tracker.tryStart()) return ResultCode.STOPPING.toFault().left()
        try {
            return RoutedRequest(request, responder, control, proxy, decisions).run()
        } finally {
            tracker.finish()
        }
    }

    /** Refuses new requests as `STOPPING` from now on; requests accepted before continue. */
    public fun stopAccepting(): Unit = tracker.close()

    /** Waits after [stopAccepting] until no request is in flight; returns the number in flight at [deadlineMs] or 0. */
    public suspend fun awaitInFlight(deadlineMs: Long): Int {
        withTimeoutOrNull(deadlineMs - clock()) { tracker.awaitDrained() }
        return tracker.inFlight
    }

    private val decisions = RouteDecisions(clock, queue, latency, retries, limits, ::reportSlotShortage)

    private fun unmetDemand(key: ServicePlanKey, inUse: Int): Int =
        maxOf(queue.waiting(key.service, key.plan), pool.peakInUse(key.service, key.plan) - inUse)

    private fun reportSlotShortage() {
        val nowMs = clock()
        if (nowMs < shortageReportedAtMs + SLOT_SHORTAGE_PERIOD_MS) return
        shortageReportedAtMs = nowMs
        onSlotShortage()
    }

    public companion object {
        public const val SLOT_SHORTAGE_PERIOD_MS: Long = 100
    }
}
