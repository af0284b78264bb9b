/** Slots of one data centre's endpoints, handed out by its owner. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.ClockMs

/** A grant is renewed every second; two renewals in a row may be lost before a process runs out of slots. */
public const val GRANT_MS: Long = 2_500

/**
 * Grants endpoint slots to processes. Control state: not thread-safe.
 *
 * At any time the slots that processes may have in use do not exceed an endpoint's slots or a plan's allowance. A new
 * ledger counts nothing, so it may only be created once the deadline of the previous owner has passed. Requests that a
 * process keeps in flight after it lost contact for longer than its grant are counted again from its next report on.
 */
public class AllotmentLedger(
    private val dataCentre: String,
    private val clock: ClockMs,
    private val actUntilMs: () -> Long,
) {
    private val endpoints = LinkedHashMap<String, EndpointSlots>()
    private val allowances = HashMap<String, Allowance>()
    private val holders = LinkedHashMap<String, SlotHolder>()
    private var lastGrantId = 0L

    /** Replaces the endpoints; grants on endpoints that are no longer listed run out. */
    public fun setEndpoints(list: List<EndpointSlots>) {
        endpoints.clear()
        list.associateByTo(endpoints) { it.id }
    }

    /** Replaces the allowances; those of other data centres are ignored. */
    public fun setAllowances(list: List<Allowance>) {
        allowances.clear()
        list.filter { it.dataCentre == dataCentre }.associateByTo(allowances) { it.plan }
    }

    /** Answers a request with everything the process may use from now on; empty if ownership has lapsed. */
    public fun answer(request: AllotmentRequest): Allotments {
        val nowMs = clock()
        val untilMs = minOf(nowMs + GRANT_MS, actUntilMs())
        if (request.dataCentre != dataCentre || untilMs <= nowMs) return Allotments(emptyList())
        holders.values.removeAll { it.isExpired(nowMs) }
        val holder = holders.getOrPut(request.processId) { SlotHolder(request.processId) }
        if (!holder.report(request, nowMs)) return Allotments(emptyList())
        val usage = SlotUsage(holders.values)
        val granted = LinkedHashMap<SlotKey, Int>()
        for ((service, demand) in request.demand.groupBy { it.service }) {
            val placer = SlotPlacer(endpointsOf(service), holder, usage)
            val shares = sharesOf(service, request.processId)
            for (plan in demand.map { it.plan }.distinct()) {
                val allowed = allowances[plan]?.slots ?: 0
                granted += placer.place(plan, shares[plan] ?: 0, allowed)
            }
        }
        return grant(holder, granted, untilMs)
    }

    /** Slots that may be in use at an endpoint now, by any process. */
    public fun countedAt(endpointId: String): Int {
        holders.values.removeAll { it.isExpired(clock()) }
        return SlotUsage(holders.values).at(endpointId)
    }

    private fun grant(holder: SlotHolder, granted: Map<SlotKey, Int>, untilMs: Long): Allotments {
        // Follows the clock so that ids also grow from one owner to the next.
        lastGrantId = maxOf(lastGrantId + 1, clock())
        holder.add(SlotGrant(lastGrantId, untilMs, granted))
        val list =
            granted.map { (key, slots) ->
                val endpoint = endpoints.getValue(key.endpointId)
                SlotAllotment(endpoint.id, endpoint.address, endpoint.service, key.plan, slots, untilMs)
            }
        return Allotments(list, lastGrantId)
    }

    private fun endpointsOf(service: String): List<EndpointSlots> =
        endpoints.values.filter { it.service == service && !it.leaving }

    private fun sharesOf(service: String, processId: String): Map<String, Int> {
        val wants = holders.values.flatMap { holder -> wantsOf(holder, service) }
        ShareDivider(endpointsOf(service).sumOf { it.slots }, wants).divide()
        return wants.filter { it.processId == processId }.associate { it.plan to it.share }
    }

    private fun wantsOf(holder: SlotHolder, service: String): List<ShareWant> = holder.demand
        .filter { it.service == service && it.plan in allowances }
        .distinctBy { it.plan }
        .map { demand ->
            val allowance = allowances.getValue(demand.plan)
            val allowed = allowedAt(service, allowance)
            ShareWant(holder.processId, demand.plan, demand.wanted, maxOf(1, allowance.weight), allowed)
        }

    /** Splits a plan's allowance between the services that it asks for, by demand. */
    private fun allowedAt(service: String, allowance: Allowance): Int {
        val demand = holders.values.flatMap { it.demand }.filter { it.plan == allowance.plan }
        val total = demand.sumOf { it.wanted + 1L }
        val here = demand.filter { it.service == service }.sumOf { it.wanted + 1L }
        return -Math.floorDiv(-allowance.slots * here, maxOf(1L, total)).toInt()
    }
}
