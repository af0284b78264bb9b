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

/** Limits of the router. */
public data class RouterLimits(
    public val admission: AdmissionLimits = AdmissionLimits(),
    public val maxAttempts: Int = 3,
    /** Longest time in the queue of a request without a latest start. */
    public val maxWaitMs: Long = 30_000,
)

/**
 * Admits requests, chooses endpoints and streams the exchanges. Thread-safe: all decisions run on [control], which has
 * to be single-threaded.
 *
 * [onSlotShortage] is called on the control thread, at most once per [SLOT_SHORTAGE_PERIOD_MS], when a request finds no free slot; it
 * must not block. The owners should then be asked at once instead of at the next refresh.
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

    /** Requests accepted and not yet ended. */
    public val inFlight: Int get() = tracker.inFlight

    /** Takes over the plans with their kinds. */
    public suspend fun configure(plans: List<Plan>): Unit = withContext(control) { queue.configure(plans) }

    /** Puts an owner's answer in force; true means that the next request to it should follow at once. */
    public suspend fun apply(dataCentre: String, allotments: Allotments): Boolean = withContext(control) {
        val mustConfirm = pool.apply(dataCentre, allotments)
        queue.slotsChanged()
        mustConfirm
    }

    /** Replaces the endpoints that get no new request; requests in flight there go on. */
    public suspend fun setLeaving(endpointIds: Set<String>): Unit = withContext(control) {
        pool.setLeaving(endpointIds)
        queue.slotsChanged()
    }

    /** Forgets the latency of endpoints that are not listed. */
    public suspend fun retainEndpoints(endpointIds: Set<String>): Unit =
        withContext(control) { latency.retain(endpointIds) }

    /** To be called several times a second: refuses requests whose latest start has passed. */
    public suspend fun tick(): Unit = withContext(control) { queue.tick() }

    /** Slots wanted by service and plan, over all data centres. */
    public suspend fun demand(): List<SlotDemand> = withContext(control) {
        queue.servicePlans().map { key ->
            val inUse = pool.inUse(key.service, key.plan)
            SlotDemand(key.service, key.plan, inUse + unmetDemand(key, inUse), inUse)
        }
    }

    /** The next request to the owner of a data centre. Demand that no slot meets is shown to every owner. */
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
     * Streams a request to an endpoint and its answer to [responder].
     *
     * A left result with outcome `NOT_RUN` means that no byte was sent to any endpoint; the body is then unread. If the
     * result is left although [responder] was called, the caller has a part of an answer and its connection must be
     * closed. A cancelled caller gives its slot back and closes its connection to the endpoint.
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

    /** From now on requests are refused as `STOPPING`; those accepted before go on. */
    public fun stopAccepting(): Unit = tracker.close()

    /** Waits after [stopAccepting] until no request is in flight; returns how many are left at [deadlineMs]. */
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
