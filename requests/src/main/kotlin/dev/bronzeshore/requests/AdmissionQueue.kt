/** Admission control for requests: a bounded queue per kind in front of the slots that this process holds. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode

/** Limits on the number of waiting requests. */
public data class AdmissionLimits(
    public val maxWaitingPerKind: Int = 512,
    /** Limit for all kinds of a plan together; a kind below its weighted share of the limit is still accepted. */
    public val maxWaitingPerPlan: Int = 1_024,
)

/**
 * Decides which request gets the next free slot. Used on the control thread only: not thread-safe.
 *
 * Requests of a kind are ordered by deadline (earliest first). Slots are shared between the kinds of a plan by
 * [KindPicker], and between plans by the owners' grants. Requests are refused before they are queued, at the cost of a
 * few comparisons.
 */
internal class AdmissionQueue(
    private val clock: ClockMs,
    private val pool: SlotPool,
    private val limits: AdmissionLimits,
    private val pick: KindPicker,
) {
    private class PlanQueues(var kinds: Map<String, KindQueue> = emptyMap(), var waiting: Int = 0) {
        var weight: Int = 1
    }

    private val plans = HashMap<String, PlanQueues>()
    private val queuesByServicePlan = LinkedHashMap<ServicePlanKey, List<KindQueue>>()
    private var lastSequence = 0L

    /** Immutable snapshot of the queues for other threads. */
    @Volatile
    private var published: Map<String, Map<String, KindQueue>> = emptyMap()

    constructor(clock: ClockMs, pool: SlotPool, limits: AdmissionLimits = AdmissionLimits()) :
        this(clock, pool, limits, FairPicker()::pick)

    /** Replaces the kinds that services handle; waiting requests of a kind that was removed are refused. */
    fun configure(configuredPlans: List<Plan>) {
        val removed = ArrayList<KindQueue>()
        for (plan in configuredPlans) {
            val queues = plans.getOrPut(plan.name) { PlanQueues() }
            val known = queues.kinds
            queues.kinds = plan.kinds.mapNotNull { kind ->
                val service = kind.service ?: return@mapNotNull null
                val kept = known[kind.name]?.takeIf { it.service == service }
                kept?.kind = kind
                kept ?: KindQueue(plan.name, service, kind)
            }.associateBy { it.kind.name }
            queues.weight = queues.kinds.values.sumOf { it.weight }
            removed += known.values.filter { queues.kinds[it.kind.name] !== it }
        }
        val names = configuredPlans.map { it.name }.toSet()
        removed += plans.filterKeys { it !in names }.values.flatMap { it.kinds.values }
        for (queue in removed) refuseAll(queue, Fault(ResultCode.UNKNOWN_KIND, "The kind is no longer configured."))
        plans.keys.retainAll(names)
        published = plans.mapValues { it.value.kinds }
        queuesByServicePlan.clear()
        queuesByServicePlan += plans.values.flatMap { it.kinds.values }.groupBy { ServicePlanKey(it.service, it.plan) }
        slotsChanged()
    }

    /**
     * The fault with which requests of a kind are refused while its queue is full, or null if it is not. Thread-safe,
     * so that a flood of requests does not reach the control thread.
     */
    fun queueFullFault(plan: String, kind: String): Fault? = published[plan]?.get(kind)?.queueFullFault

    /** The fault with which a request that arrives now is refused, or null if it is not. */
    fun refusalOf(plan: String, kind: String, service: String): Fault? {
        val queues = plans[plan] ?: return UNKNOWN_PLAN
        val queue = queues.kinds[kind] ?: return UNKNOWN_KIND
        if (queue.service != service) return UNKNOWN_SERVICE
        val code =
            when {
                queue.waiting >= limits.maxWaitingPerKind -> ResultCode.QUEUE_FULL
                queues.waiting < limits.maxWaitingPerPlan -> return null
                queue.waiting < limits.maxWaitingPerPlan * queue.weight / queues.weight -> return null
                else -> ResultCode.SHARE_EXHAUSTED
            }
        val nowMs = clock()
        queue.recordOverflow(nowMs)
        return code.toFault(retryAtMs = queue.expectedDrainAtMs(nowMs))
    }

    /** Queues a request, or returns the fault with which it is refused. If a slot is free, it is assigned at once. */
    fun enqueue(request: QueuedRequest): Fault? {
        val fault = refusalOf(request.plan, request.kind, request.service)
        return fault ?: addUnlessExpired(request)
    }

    /** Queues a request again that was admitted before and has to be retried; the limits do not apply. */
    fun requeue(request: QueuedRequest): Fault? {
        if (plans[request.plan]?.kinds?.get(request.kind)?.service != request.service) return UNKNOWN_KIND
        return addUnlessExpired(request)
    }

    /** Removes a waiting request without a decision; returns false if it is no longer waiting. */
    fun cancel(request: QueuedRequest): Boolean {
        if (request.state != QueuedState.WAITING) return false
        request.state = QueuedState.ENDED
        request.queue?.recordCancellation()
        recordDequeue(request)
        return true
    }

    /** Releases the slot of a started request and assigns it to a waiting one. */
    fun release(request: QueuedRequest, lease: SlotLease) {
        if (request.state != QueuedState.STARTED) return
        request.state = QueuedState.ENDED
        pool.release(lease)
        request.queue?.recordEnd(clock())
        dispatch(ServicePlanKey(request.service, request.plan))
    }

    /** Assigns free slots; to be called after the allotments or the set of leaving endpoints changed. */
    fun slotsChanged(): Unit = queuesByServicePlan.keys.forEach { dispatch(it) }

    /** Drops requests and slots whose deadline has passed; to be called several times a second. */
    fun tick() {
        val nowMs = clock()
        pool.dropExpired()
        for (queue in queuesByServicePlan.values.flatten()) {
            dropExpired(queue, nowMs)
            queue.updateQueueFullFault(limits.maxWaitingPerKind, nowMs)
        }
        slotsChanged()
    }

    /** Number of a plan's requests that wait for a service. */
    fun waiting(service: String, plan: String): Int =
        queuesByServicePlan[ServicePlanKey(service, plan)]?.sumOf { it.waiting } ?: 0

    /** The pairs of service and plan of all configured kinds. */
    fun servicePlans(): Set<ServicePlanKey> = queuesByServicePlan.keys

    private fun addUnlessExpired(request: QueuedRequest): Fault? {
        if (clock() > request.startBeforeMs) return DEADLINE_PASSED
        add(request)
        return null
    }

    private fun add(request: QueuedRequest) {
        val queues = plans.getValue(request.plan)
        val queue = queues.kinds.getValue(request.kind)
        request.queue = queue
        request.sequence = lastSequence++
        request.state = QueuedState.WAITING
        queue.add(request)
        queues.waiting++
        queue.updateQueueFullFault(limits.maxWaitingPerKind, clock())
        dispatch(ServicePlanKey(request.service, request.plan))
    }

    private fun dispatch(key: ServicePlanKey) {
        val kinds = queuesByServicePlan[key] ?: return
        val nowMs = clock()
        while (true) {
            val free = pool.free(key.service, key.plan)
            if (free == 0) return
            val queue = pick(SharingState(kinds, pool.granted(key.service, key.plan), free, nowMs)) ?: return
            dropExpired(queue, nowMs)
            if (queue.waiting == 0) continue
            val lease = pool.take(key.service, key.plan) ?: return
            val request = queue.pollHead() ?: error("a queue with waiting requests has no head")
            recordDequeue(request)
            queue.recordStart(nowMs)
            request.state = QueuedState.STARTED
            request.onDecision(AdmissionDecision.Start(lease))
        }
    }

    private fun dropExpired(queue: KindQueue, nowMs: Long) {
        while (true) {
            val head = queue.head() ?: return
            if (nowMs <= head.startBeforeMs) return
            queue.recordOverflow(nowMs)
            refuseHead(queue, DEADLINE_PASSED)
        }
    }

    private fun refuseAll(queue: KindQueue, fault: Fault) {
        while (queue.head() != null) refuseHead(queue, fault)
    }

    private fun refuseHead(queue: KindQueue, fault: Fault) {
        val request = queue.pollHead() ?: return
        recordDequeue(request)
        request.state = QueuedState.ENDED
        request.onDecision(AdmissionDecision.Refused(fault))
    }

    private fun recordDequeue(request: QueuedRequest) {
        plans[request.plan]?.let { it.waiting-- }
        request.queue?.updateQueueFullFault(limits.maxWaitingPerKind, clock())
    }

    private companion object {
        val UNKNOWN_PLAN = ResultCode.UNKNOWN_PLAN.toFault()
        val UNKNOWN_KIND = ResultCode.UNKNOWN_KIND.toFault()
        val UNKNOWN_SERVICE = ResultCode.UNKNOWN_SERVICE.toFault()
        val DEADLINE_PASSED = ResultCode.DEADLINE_PASSED.toFault()
    }
}
