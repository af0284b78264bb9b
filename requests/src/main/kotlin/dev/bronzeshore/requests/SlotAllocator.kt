/** Allocation of a data centre's endpoint slots by its owner. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.ClockMs

/** A grant is renewed every second, so two consecutive renewals may be lost before a process runs out of slots. */
public const val GRANT_DURATION_MS: Long = 2_500

/**
 * Grants endpoint slots to processes. Used on the control thread only: not thread-safe.
 *
 * At any time the committed slots, those that processes may have in use, do not exceed an endpoint's slots or a plan's
 * allowance. A new allocator starts without committed slots, so it may only be created once the deadline of the
 * previous owner has passed. If a process loses contact for longer than its grant, its requests in flight are counted
 * again from its next report on.
 */
public class SlotAllocator(
    private val dataCentre: String,
    private val clock: ClockMs,
    private val actUntilMs: () -> Long,
) {
    private val endpoints = LinkedHashMap<String, EndpointSlots>()
    private val allowances = HashMap<String, Allowance>()
    private val holders = LinkedHashMap<String, SlotHolder>()
    private var lastGrantId = 0L

    /** Replaces the endpoints; grants on endpoints that are no longer listed expire. */
    public fun setEndpoints(list: List<EndpointSlots>) {
        endpoints.clear()
        list.associateByTo(endpoints) { it.id }
    }

    /** Replaces the allowances; those of other data centres are ignored. */
    public fun setAllowances(list: List<Allowance>) {
        allowances.clear()
        list.filter { it.dataCentre == dataCentre }.associateByTo(allowances) { it.plan }
    }

    /** Returns all slots that the process may use from now on; empty if the ownership has expired. */
    public fun allocate(request: AllotmentRequest): Allotments {
        val nowMs = clock()
        val untilMs = minOf(nowMs + GRANT_DURATION_MS, actUntilMs())
        if (request.dataCentre != dataCentre || untilMs <= nowMs) return Allotments(emptyList())
        holders.values.removeAll { it.isExpired(nowMs) }
        val holder = holders.getOrPut(request.processId) { SlotHolder(request.processId) }
        if (!holder.recordReport(request, nowMs)) return Allotments(emptyList())
        val committed = CommittedSlots(holders.values)
        val demands = DemandTotals(holders.values)
        val granted = LinkedHashMap<SlotKey, Int>()
        for ((service, demand) in request.demand.groupBy { it.service }) {
            val placer = SlotPlacer(endpointsOf(service), holder, committed)
            val shares = sharesOf(service, request.processId, demands)
            for (plan in demand.map { it.plan }.distinct()) {
                val allowed = allowances[plan]?.slots ?: 0
                granted += placer.place(plan, shares[plan] ?: 0, allowed)
            }
        }
        return grant(holder, granted, untilMs)
    }

    /** Number of slots of an endpoint that processes may have in use now. */
    public fun committedAt(endpointId: String): Int {
        holders.values.removeAll { it.isExpired(clock()) }
        return CommittedSlots(holders.values).atEndpoint(endpointId)
    }

    private fun grant(holder: SlotHolder, granted: Map<SlotKey, Int>, untilMs: Long): Allotments {
        // Not below the clock, so that ids also increase from one owner to the next.
        lastGrantId = maxOf(lastGrantId + 1, clock())
        holder.addGrant(SlotGrant(lastGrantId, untilMs, granted))
        val list =
            granted.map { (key, slots) ->
                val endpoint = endpoints.getValue(key.endpointId)
                SlotAllotment(endpoint.id, endpoint.address, endpoint.service, key.plan, slots, untilMs)
            }
        return Allotments(list, lastGrantId)
    }

    private fun endpointsOf(service: String): List<EndpointSlots> =
        endpoints.values.filter { it.service == service && !it.leaving }

    private fun sharesOf(service: String, processId: String, demand: DemandTotals): Map<String, Int> {
        val shareDemands = holders.values.flatMap { holder -> demandsOf(holder, service, demand) }
        ShareDivider(endpointsOf(service).sumOf { it.slots }, shareDemands).divide()
        return shareDemands.filter { it.processId == processId }.associate { it.plan to it.share }
    }

    private fun demandsOf(holder: SlotHolder, service: String, demand: DemandTotals): List<ShareDemand> = holder.demand
        .filter { it.service == service && it.plan in allowances }
        .distinctBy { it.plan }
        .map { wanted ->
            val allowance = allowances.getValue(wanted.plan)
            val allowed = demand.allowedAt(service, allowance)
            ShareDemand(holder.processId, wanted.plan, wanted.wanted, maxOf(1, allowance.weight), allowed)
        }

    /** Demand of all processes, by which a plan's allowance is divided between the services that it uses. */
    private class DemandTotals(holders: Collection<SlotHolder>) {
        private val byPlan = HashMap<String, Long>()
        private val byServicePlan = HashMap<ServicePlanKey, Long>()

        init {
            for (demand in holders.flatMap { it.demand }) {
                // The minimum slot of an idle process counts as a demand of one.
                byPlan.merge(demand.plan, demand.wanted + 1L, Long::plus)
                byServicePlan.merge(ServicePlanKey(demand.service, demand.plan), demand.wanted + 1L, Long::plus)
            }
        }

        fun allowedAt(service: String, allowance: Allowance): Int {
            val here = byServicePlan[ServicePlanKey(service, allowance.plan)] ?: 0L
            val total = byPlan[allowance.plan] ?: 1L
            return -Math.floorDiv(-allowance.slots * here, total).toInt()
        }
    }
}
