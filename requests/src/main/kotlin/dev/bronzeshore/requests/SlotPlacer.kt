/** Selection of the endpoints at which a process gets its share. */
package dev.bronzeshore.requests

/** Places shares of one [holder] on the [endpoints] of one service and adds them to [committed]. */
internal class SlotPlacer(
    private val endpoints: List<EndpointSlots>,
    private val holder: SlotHolder,
    private val committed: CommittedSlots,
) {
    private val heldBefore = holder.committedSlots()

    /** Returns the slots of [plan] by endpoint: at most [target] in total, within the plan's limit [allowed]. */
    fun place(plan: String, target: Int, allowed: Int): Map<SlotKey, Int> {
        val slots = LinkedHashMap<SlotKey, Int>()
        for (endpoint in endpoints) {
            val key = SlotKey(endpoint.id, plan)
            // If the endpoint's number of slots was reduced, the excess is not granted again.
            val excess = maxOf(0, committed.atEndpoint(endpoint.id) - endpoint.slots)
            slots[key] = maxOf(0, (heldBefore[key] ?: 0) - excess)
        }
        shrink(slots, target)
        grow(slots, target, allowed)
        slots.values.removeAll { it <= 0 }
        return slots
    }

    /** Removes slots at the endpoints where the process has the most unused ones. */
    private fun shrink(slots: MutableMap<SlotKey, Int>, target: Int) {
        var surplus = slots.values.sum() - target
        while (surplus > 0) {
            val key = slots.keys.filter { slots.getValue(it) > 0 }.maxBy { slots.getValue(it) - holder.inUse(it) }
            slots.merge(key, -1, Int::plus)
            surplus--
        }
    }

    /** Adds slots at the endpoints with the most free ones. */
    private fun grow(slots: MutableMap<SlotKey, Int>, target: Int, allowed: Int) {
        var missing = target - slots.values.sum()
        while (missing > 0) {
            val endpoint = endpoints.maxByOrNull { it.slots - committed.atEndpoint(it.id) } ?: return
            val key = SlotKey(endpoint.id, slots.keys.first().plan)
            if (committed.atEndpoint(endpoint.id) >= endpoint.slots || committed.ofPlan(key.plan) >= allowed) return
            slots.merge(key, 1, Int::plus)
            committed.add(key, 1)
            missing--
        }
    }
}
