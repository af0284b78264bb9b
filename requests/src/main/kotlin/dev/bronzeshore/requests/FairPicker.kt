/** Weighted fair sharing of a plan's slots at a service between the plan's kinds. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Policy
import kotlin.math.ceil
import kotlin.math.sqrt

/** State of a plan's slots at a service, for one decision. */
internal class SharingState(val kinds: List<KindQueue>, val granted: Int, val free: Int, val nowMs: Long)

/** Selects the kind whose first waiting request gets the next free slot, or null to keep the slot free. */
internal typealias KindPicker = (state: SharingState) -> KindQueue?

/**
 * Prefers kinds below their entitlement, then the kind with the lowest recent usage in proportion to its weight.
 *
 * A kind without demand lends its share and gets it back with the next slot that becomes free. Since a lent slot cannot
 * be reclaimed while its request runs, an overflowing kind above its entitlement may not use the slots that interactive
 * kinds have needed recently. This reserve is their mean usage plus [reserveDeviations] standard deviations; null means
 * no reserve.
 */
internal class FairPicker(private val reserveDeviations: Double? = RESERVE_DEVIATIONS) {
    fun pick(state: SharingState): KindQueue? {
        val activeWeight = state.kinds.sumOf { if (it.isActive) it.weight else 0 }
        var best: KindQueue? = null
        var bestIsBelow = false
        var bestUsage = 0.0
        for (kind in state.kinds) {
            if (kind.waiting == 0) continue
            val isBelow = kind.inUse < entitlement(state, kind, activeWeight)
            val usage = kind.usage.mean(state.nowMs) / kind.weight
            val isBetter = best == null || (isBelow && !bestIsBelow) || (isBelow == bestIsBelow && usage < bestUsage)
            if (isBetter && (isBelow || state.free > reservedSlots(state, kind, activeWeight))) {
                best = kind
                bestIsBelow = isBelow
                bestUsage = usage
            }
        }
        return best
    }

    private val KindQueue.isActive: Boolean get() = waiting > 0 || inUse > 0

    private fun entitlement(state: SharingState, kind: KindQueue, activeWeight: Int): Int {
        val total = if (kind.isActive) activeWeight else activeWeight + kind.weight
        return (state.granted.toLong() * kind.weight / total).toInt()
    }

    /** Number of slots to keep free for interactive kinds other than [borrower]. */
    private fun reservedSlots(state: SharingState, borrower: KindQueue, activeWeight: Int): Int {
        val deviations = reserveDeviations ?: return 0
        if (!borrower.isOverflowing(state.nowMs)) return 0
        var slots = 0
        for (kind in state.kinds) {
            if (kind === borrower || kind.kind.policy != Policy.INTERACTIVE) continue
            val mean = kind.usage.mean(state.nowMs)
            if (mean < MIN_USAGE) continue
            val needed = ceil(mean + deviations * sqrt(mean)).toInt()
            slots += maxOf(0, minOf(needed, entitlement(state, kind, activeWeight)) - kind.inUse)
        }
        return slots
    }

    private companion object {
        /** The standard deviation of the slots in use by independent requests is the square root of their mean. */
        const val RESERVE_DEVIATIONS = 2.0

        /** A kind with a lower mean usage is considered idle and lends all its slots. */
        const val MIN_USAGE = 0.02
    }
}
