/** Weighted fair sharing of a plan's slots at a service between its kinds. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Policy
import kotlin.math.ceil
import kotlin.math.sqrt

/** State of a plan's slots at a service, for one decision. */
internal class LaneView(val kinds: List<KindQueue>, val granted: Int, val free: Int, val nowMs: Long)

/** Chooses the kind whose head gets the next free slot, or null to leave the slot free. */
internal typealias KindPicker = (lane: LaneView) -> KindQueue?

/**
 * Gives free slots to kinds below their entitlement first, then to the kind with the lowest recent use for its weight.
 *
 * A kind without demand lends its share, and gets it back at the next free slot. Only a kind that overflows and is
 * above its entitlement leaves free what the interactive kinds have recently needed, because a slot on loan cannot be
 * recalled. That reserve is the mean use plus [reserveDeviations] standard deviations; null lends everything.
 */
internal class FairPicker(private val reserveDeviations: Double? = RESERVE_DEVIATIONS) {
    fun pick(lane: LaneView): KindQueue? {
        val activeWeight = lane.kinds.sumOf { if (it.isActive) it.weight else 0 }
        var best: KindQueue? = null
        var bestUnder = false
        var bestUsage = 0.0
        for (kind in lane.kinds) {
            if (kind.waiting == 0) continue
            val under = kind.inUse < entitled(lane, kind, activeWeight)
            val usage = kind.usage.mean(lane.nowMs) / kind.weight
            val better = best == null || (under && !bestUnder) || (under == bestUnder && usage < bestUsage)
            if (better && (under || lane.free > reserved(lane, kind, activeWeight))) {
                best = kind
                bestUnder = under
                bestUsage = usage
            }
        }
        return best
    }

    private val KindQueue.isActive: Boolean get() = waiting > 0 || inUse > 0

    private fun entitled(lane: LaneView, kind: KindQueue, activeWeight: Int): Int {
        val total = if (kind.isActive) activeWeight else activeWeight + kind.weight
        return (lane.granted.toLong() * kind.weight / total).toInt()
    }

    /** Slots that are kept free for interactive kinds other than [borrower]. */
    private fun reserved(lane: LaneView, borrower: KindQueue, activeWeight: Int): Int {
        val deviations = reserveDeviations ?: return 0
        if (!borrower.isOverflowing(lane.nowMs)) return 0
        var slots = 0
        for (kind in lane.kinds) {
            if (kind === borrower || kind.kind.policy != Policy.INTERACTIVE) continue
            val mean = kind.usage.mean(lane.nowMs)
            if (mean < MIN_USAGE) continue
            val needed = ceil(mean + deviations * sqrt(mean)).toInt()
            slots += maxOf(0, minOf(needed, entitled(lane, kind, activeWeight)) - kind.inUse)
        }
        return slots
    }

    private companion object {
        /** Slots in use by independent requests vary by the square root of their mean. */
        const val RESERVE_DEVIATIONS = 2.0

        /** Below this use, a kind is taken as idle and lends everything. */
        const val MIN_USAGE = 0.02
    }
}
