/** Divides the slots of one service between processes and plans. */
package dev.bronzeshore.requests

import java.util.PriorityQueue

/** Demand of one process for one plan; [allowed] is the maximum for the plan over all processes. */
internal class ShareDemand(
    val processId: String,
    val plan: String,
    val wanted: Int,
    val weight: Int,
    val allowed: Int,
) {
    /** Slots assigned so far. */
    var share: Int = 0
}

/**
 * Weighted max-min fair division.
 *
 * First each process gets a minimum of one slot per plan. Then demand plus headroom is met, the plan with the smallest
 * share in proportion to its weight first. Half of the remaining slots are distributed so that all processes have about
 * the same number of spare slots. The owner keeps the other half for the next request, which can then be granted
 * without waiting until another process has refreshed its grant.
 */
internal class ShareDivider(private val capacity: Int, demands: List<ShareDemand>) {
    private class PlanShares(val demands: List<ShareDemand>) {
        val weight = demands.first().weight
        val allowed = demands.first().allowed
        var share = 0
    }

    private val plans = demands.groupBy { it.plan }.values.map { PlanShares(it) }
    private var free = capacity

    fun divide() {
        val minimum = minOf(free, maxOf(1, capacity / MINIMUM_SHARE_DIVISOR))
        assign(minimum, { 1 }, { it.share })
        assign(free, { it.wanted + it.wanted / HEADROOM_DIVISOR + HEADROOM_SLOTS }, { it.share })
        assign(free / 2, { Int.MAX_VALUE }, { it.share - it.wanted })
    }

    private fun assign(slots: Int, limit: (ShareDemand) -> Int, level: (ShareDemand) -> Int) {
        val byShare = PriorityQueue(compareBy<PlanShares> { it.share.toDouble() / it.weight })
        byShare.addAll(plans)
        val byLevel = plans.associateWith { plan -> PriorityQueue(compareBy(level)).also { it.addAll(plan.demands) } }
        var remaining = slots
        while (remaining > 0) {
            val plan = byShare.poll() ?: return
            if (plan.share >= plan.allowed) continue
            val demands = byLevel.getValue(plan)
            val demand = demands.poll() ?: continue
            if (demand.share < limit(demand)) {
                demand.share++
                plan.share++
                free--
                remaining--
                demands.add(demand)
            }
            byShare.add(plan)
        }
    }

    private companion object {
        /** Minimum slots take at most a quarter of all slots, so that many idle plans do not displace demand. */
        const val MINIMUM_SHARE_DIVISOR = 4

        /** Headroom so that a burst within the next second does not have to wait for the next grant. */
        const val HEADROOM_DIVISOR = 2
        const val HEADROOM_SLOTS = 1
    }
}
