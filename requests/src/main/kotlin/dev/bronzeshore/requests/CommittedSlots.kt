/** Totals of the slots that processes may have in use. */
package dev.bronzeshore.requests

/** Slots that all [holders] together may have in use, per endpoint and per plan. */
internal class CommittedSlots(holders: Collection<SlotHolder>) {
    private val byEndpoint = HashMap<String, Int>()
    private val byPlan = HashMap<String, Int>()

    init {
        holders.forEach { holder -> holder.committedSlots().forEach { (key, slots) -> add(key, slots) } }
    }

    fun atEndpoint(endpointId: String): Int = byEndpoint[endpointId] ?: 0

    fun ofPlan(plan: String): Int = byPlan[plan] ?: 0

    fun add(key: SlotKey, slots: Int) {
        byEndpoint.merge(key.endpointId, slots, Int::plus)
        byPlan.merge(key.plan, slots, Int::plus)
    }
}
