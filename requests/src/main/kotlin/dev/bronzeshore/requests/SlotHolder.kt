/** What the owner knows about one process that holds slots. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.CLOCK_DRIFT_MS

/** Slots granted in one answer; [untilMs] is the deadline of all of them. */
internal class SlotGrant(val id: Long, val untilMs: Long, val slots: Map<SlotKey, Int>)

/**
 * Grants that a process may still act upon, and its last report.
 *
 * An answer may be lost, so an earlier grant counts next to the later ones until the process confirms a later one or
 * the deadline plus drift has passed.
 */
internal class SlotHolder(val processId: String) {
    var demand: List<SlotDemand> = emptyList()
        private set
    private var lastSequence = Long.MIN_VALUE
    private var inUse: Map<SlotKey, Int> = emptyMap()
    private var inUseUntilMs = Long.MIN_VALUE
    private val grants = ArrayDeque<SlotGrant>()

    /** Takes a report; returns false if a later one was taken before. */
    fun report(request: AllotmentRequest, forgetAtMs: Long): Boolean {
        if (request.sequence < lastSequence) return false
        lastSequence = request.sequence
        demand = request.demand
        inUse = request.inUse.associate { SlotKey(it.endpointId, it.plan) to it.slots }
        inUseUntilMs = forgetAtMs
        grants.removeAll { it.id < request.appliedGrantId }
        return true
    }

    fun add(grant: SlotGrant) {
        grants.addLast(grant)
        inUseUntilMs = maxOf(inUseUntilMs, grant.untilMs)
    }

    /** Drops what no longer counts; returns true if nothing is left. */
    fun expire(nowMs: Long): Boolean {
        grants.removeAll { nowMs >= it.untilMs + CLOCK_DRIFT_MS }
        if (nowMs >= inUseUntilMs + CLOCK_DRIFT_MS) inUse = emptyMap()
        return grants.isEmpty() && nowMs >= inUseUntilMs + CLOCK_DRIFT_MS
    }

    fun inUse(key: SlotKey): Int = inUse[key] ?: 0

    /** The most slots that the process may have in use, by endpoint and plan. */
    fun counted(): Map<SlotKey, Int> {
        val counted = HashMap(inUse)
        for (grant in grants) {
            grant.slots.forEach { (key, slots) -> counted.merge(key, slots, ::maxOf) }
        }
        return counted
    }
}
