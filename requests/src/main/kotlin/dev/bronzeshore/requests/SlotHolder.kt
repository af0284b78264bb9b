/** What the owner knows about one process that holds slots. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS

/** Slots granted in one answer. */
internal class SlotGrant(val id: Long, val untilMs: Long, val slots: Map<SlotKey, Int>)

/**
 * Grants that a process may still act upon, and its last report.
 *
 * An answer may be lost and a request may be late, so a grant counts until the process confirms a later one. Requests
 * that started under it are then part of the report. A process that is not heard of loses everything at once, when the
 * deadline of its last grant plus drift has passed.
 */
internal class SlotHolder(val processId: String) {
    var demand: List<SlotDemand> = emptyList()
        private set
    private var lastSequence = Long.MIN_VALUE
    private var inUse: Map<SlotKey, Int> = emptyMap()
    private var committedUntilMs = Long.MIN_VALUE
    private val grants = ArrayDeque<SlotGrant>()

    /** Takes a report; returns false if a later one was taken before. */
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

    /** True once nothing of the process counts any longer. */
    fun isExpired(nowMs: Long): Boolean = nowMs >= committedUntilMs + MAX_CLOCK_SKEW_MS

    fun inUse(key: SlotKey): Int = inUse[key] ?: 0

    /** The most slots that the process may have in use, by endpoint and plan. */
    fun committedSlots(): Map<SlotKey, Int> {
        val committed = HashMap(inUse)
        for (grant in grants) committed.mergeMax(grant.slots)
        return committed
    }

    /** Bounds the memory for a process that asks and never confirms. */
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
