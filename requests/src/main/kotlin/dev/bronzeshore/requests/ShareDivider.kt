/** Divides the slots of one service between processes and plans. */
package dev.bronzeshore.requests

import java.util.PriorityQueue

/** What one process wants for one plan; [allowed] bounds the plan's sum over all processes. */
internal class ShareDemand(val processId: String, val plan: String, val wanted: Int, val weight: Int, val allowed: Int) {
    /** Slots assigned so far. */
    var share: Int = 0
}

/**
 * Weighted max-min fair division.
 *
 * First each process gets a standing slot per plan. Then demand with some headroom is met, the plan with the smallest
 * share for its weight first. Half of what is left is spread so that every process has about the same spare; the
 * other half stays with the owner and is granted to whoever asks next, without waiting for another process's refresh.
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
        val minimum = minOf(free, maxOf(1, capacity / MINIMUM_DIVISOR))
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
        /** Standing slots take at most a quarter of a service, so that many idle plans do not displace demand. */
        const val MINIMUM_DIVISOR = 4

        /** A burst within the next second should not have to wait for the next grant. */
        const val HEADROOM_DIVISOR = 2
        const val HEADROOM_SLOTS = 1
    }
}
