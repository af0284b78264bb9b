/** The endpoint slots that this process holds. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.ClockMs
import kotlin.random.Random

/**
 * Leases the slots that the owners granted to requests. Used on the control thread only: not thread-safe.
 *
 * A slot is leased only before its deadline and while the plan has fewer requests in flight at the endpoint than slots
 * granted there; requests that started under an earlier grant are included.
 */
internal class SlotPool(private val clock: ClockMs, private val latency: LatencyTracker, random: Random) {
    private val held = LinkedHashMap<SlotKey, HeldSlots>()
    private val servicePlans = LinkedHashMap<ServicePlanKey, ServicePlanSlots>()
    private val inUseAt = HashMap<String, Int>()
    private val leaving = HashSet<String>()
    private val grantIds = HashMap<String, Long>()
    private val chooser = SlotChooser(random, latency::expectedMs) { inUseAt[it] ?: 0 }
    private var lastSequence = 0L

    /**
     * Applies an owner's response unless a later one has been applied.
     *
     * Returns true if the number of slots was reduced at an endpoint. The next request to the owner should then follow
     * at once: it confirms the reduction, so that the owner can grant the slots to other processes.
     */
    fun apply(dataCentre: String, allotments: Allotments): Boolean {
        if (allotments.grantId <= (grantIds[dataCentre] ?: 0L)) return false
        grantIds[dataCentre] = allotments.grantId
        val granted = allotments.list.associateBy { SlotKey(it.endpointId, it.plan) }
        val nowMs = clock()
        var isReduced = false
        for (entry in held.values.filter { it.dataCentre == dataCentre }) {
            val slots = granted[entry.key]?.slots ?: 0
            if (slots < entry.slots) isReduced = true
            entry.planSlots.setSlots(entry, slots)
            updateEntry(entry, nowMs)
        }
        for ((key, allotment) in granted) {
            val entry = entryOf(key, dataCentre, allotment)
            entry.untilMs = allotment.untilMs
            entry.planSlots.setSlots(entry, allotment.slots)
            updateEntry(entry, nowMs)
        }
        return isReduced
    }

    /** Leases a slot for a request of [plan] to [service]; returns null if none is free. */
    fun take(service: String, plan: String): SlotLease? {
        val planSlots = servicePlans[ServicePlanKey(service, plan)] ?: return null
        val nowMs = clock()
        while (planSlots.candidates.isNotEmpty()) {
            val entry = chooser.choose(planSlots.candidates)
            val hasFreeSlot = entry.hasFreeSlot(nowMs)
            if (hasFreeSlot) changeInUse(entry, 1)
            planSlots.updateCandidate(entry, nowMs)
            if (hasFreeSlot) return SlotLease(entry)
        }
        return null
    }

    /** Releases a slot when its request has ended; a second call has no effect. */
    fun release(lease: SlotLease) {
        if (lease.released) return
        lease.released = true
        changeInUse(lease.held, -1)
        updateEntry(lease.held, clock())
    }

    /** Number of slots granted for a plan's requests to a service that are not in use. */
    fun free(service: String, plan: String): Int = servicePlans[ServicePlanKey(service, plan)]?.free ?: 0

    /** Number of a plan's requests in flight at a service's endpoints. */
    fun inUse(service: String, plan: String): Int = servicePlans[ServicePlanKey(service, plan)]?.inUse ?: 0

    /** Number of slots granted for a plan's requests to a service, in use or not. */
    fun granted(service: String, plan: String): Int = servicePlans[ServicePlanKey(service, plan)]?.granted ?: 0

    /** Number of a plan's requests in flight at a service's endpoints in one data centre. */
    fun inUse(dataCentre: String, service: String, plan: String): Int {
        val planSlots = servicePlans[ServicePlanKey(service, plan)] ?: return 0
        return held.values.sumOf { if (it.planSlots === planSlots && it.dataCentre == dataCentre) it.inUse else 0 }
    }

    /** Maximum number of requests in flight at a time during the last one to two seconds. */
    fun peakInUse(service: String, plan: String): Int =
        servicePlans[ServicePlanKey(service, plan)]?.peakInUse(clock()) ?: 0

    /** Replaces the set of endpoints that get no new requests, even if slots are granted there. */
    fun setLeaving(endpointIds: Set<String>) {
        leaving.clear()
        leaving += endpointIds
        held.values.toList().forEach { updateEntry(it, clock()) }
    }

    /** Removes slots whose deadline has passed, so that they no longer count as granted. */
    fun dropExpired() {
        val nowMs = clock()
        for (entry in held.values.filter { nowMs >= it.untilMs }) {
            entry.planSlots.setSlots(entry, 0)
            updateEntry(entry, nowMs)
        }
    }

    /** Creates a request for slots to the owner of a data centre. */
    fun allotmentRequest(dataCentre: String, processId: String, demand: List<SlotDemand>): AllotmentRequest {
        // Not below the clock, so that a restarted process continues above the numbers it used before.
        lastSequence = maxOf(lastSequence + 1, clock())
        val inUse =
            held.values
                .filter { it.dataCentre == dataCentre && it.inUse > 0 }
                .map { SlotsInUse(it.key.endpointId, it.key.plan, it.inUse) }
        val applied = grantIds[dataCentre] ?: 0L
        return AllotmentRequest(dataCentre, processId, demand, inUse, lastSequence, applied)
    }

    private fun entryOf(key: SlotKey, dataCentre: String, allotment: SlotAllotment): HeldSlots {
        val current = held[key]
        val planSlots = servicePlans.getOrPut(ServicePlanKey(allotment.service, key.plan)) {
            ServicePlanSlots(ServicePlanKey(allotment.service, key.plan))
        }
        if (current != null && current.address == allotment.address && current.planSlots === planSlots) return current
        if (current != null) retire(current)
        val entry = HeldSlots(key, dataCentre, allotment.address, planSlots)
        held[key] = entry
        return entry
    }

    /** Stops using an entry whose endpoint was replaced by another one with the same id. */
    private fun retire(entry: HeldSlots) {
        entry.planSlots.setSlots(entry, 0)
        entry.planSlots.updateCandidate(entry, clock())
    }

    private fun updateEntry(entry: HeldSlots, nowMs: Long) {
        if (entry.key.endpointId in leaving) entry.planSlots.setSlots(entry, 0)
        entry.planSlots.updateCandidate(entry, nowMs)
        if (entry.slots == 0 && entry.inUse == 0) held.remove(entry.key, entry)
    }

    private fun changeInUse(entry: HeldSlots, change: Int) {
        entry.planSlots.changeInUse(entry, change, clock())
        val atEndpoint = (inUseAt[entry.key.endpointId] ?: 0) + change
        if (atEndpoint == 0) inUseAt.remove(entry.key.endpointId) else inUseAt[entry.key.endpointId] = atEndpoint
    }
}
