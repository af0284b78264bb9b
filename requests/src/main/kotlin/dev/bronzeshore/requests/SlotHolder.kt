/** The owner's state about one process that holds slots. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS

/** Slots granted in one response. */
internal class SlotGrant(val id: Long, val untilMs: Long, val slots: Map<SlotKey, Int>)

/**
 * Grants that a process may still use, and its last report.
 *
 * Responses may be lost and requests delayed, so a grant counts until the process confirms a later one. Requests that
 * started under the grant are then part of the report. If a process sends no reports, all its slots expire when the
 * deadline of its last grant plus the maximum clock skew has passed.
 */
internal class SlotHolder(val processId: String) {
    var demand: List<SlotDemand> = emptyList()
        private set
    private var lastSequence = Long.MIN_VALUE
    private var inUse: Map<SlotKey, Int> = emptyMap()
    private var committedUntilMs = Long.MIN_VALUE
    private val grants = ArrayDeque<SlotGrant>()

    /** Records a report; returns false if a later one was recorded before. */
    fun recordReport(request: AllotmentRequest, nowMs: Long): Boolean {
        if (request.sequence < lastSequence) return false
        lastSequence = request.sequence
        demand = request.demand
        inUse = request.inUse.associate { SlotKey(it.endpointId, it.plan) to it.slots }
        committedUntilMs = maxOf(committedUntilMs, nowMs + GRANT_DURATION_MS)
        grants.removeAll { it.id < request.appliedGrantId }
        return true
    }

    fun addGrant(grant: SlotGrant) {
        grants.addLast(grant)
        committedUntilMs = maxOf(committedUntilMs, grant.untilMs)
        if (grants.size > MAX_GRANTS) mergeOldest()
    }

    /** True once the process can have no more slots in use. */
    fun isExpired(nowMs: Long): Boolean = nowMs >= committedUntilMs + MAX_CLOCK_SKEW_MS

    fun inUse(key: SlotKey): Int = inUse[key] ?: 0

    /** The maximum number of slots that the process may have in use, by endpoint and plan. */
    fun committedSlots(): Map<SlotKey, Int> {
        val committed = HashMap(inUse)
        for (grant in grants) committed.mergeMax(grant.slots)
        return committed
    }

    /** Merges the two oldest grants, to limit the memory for a process that requests slots and never confirms them. */
    private fun mergeOldest() {
        val first = grants.removeFirst()
        val second = grants.removeFirst()
        val slots = HashMap(first.slots)
        slots.mergeMax(second.slots)
        grants.addFirst(SlotGrant(second.id, second.untilMs, slots))
    }

    private fun HashMap<SlotKey, Int>.mergeMax(slots: Map<SlotKey, Int>) {
        slots.forEach { (key, count) -> merge(key, count, ::maxOf) }
    }

    private companion object {
        const val MAX_GRANTS = 8
    }
}
