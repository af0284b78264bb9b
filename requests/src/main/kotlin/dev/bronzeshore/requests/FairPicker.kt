/** Weighted fair sharing of a plan's slots at a service between its kinds. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Policy
import kotlin.math.ceil
import kotlin.math.sqrt

/** State of a plan's slots at a service, for one decision. */
internal class SharingState(val kinds: List<KindQueue>, val granted: Int, val free: Int, val nowMs: Long)

/** Chooses the kind whose head gets the next free slot, or null to leave the slot free. */
internal typealias KindPicker = (state: SharingState) -> KindQueue?

/**
 * Gives free slots to kinds below their entitlement first, then to the kind with the lowest recent use for its weight.
 *
 * A kind without demand lends its share, and gets it back at the next free slot. Only a kind that overflows and is
 * above its entitlement leaves free what the interactive kinds have recently needed, because a slot on loan cannot be
 * recalled. That reserve is the mean use plus [reserveDeviations] standard deviations; null lends everything.
 */
internal class FairPicker(private val reserveDeviations: Double? = RESERVE_DEVIATIONS) {
    fun pick(state: SharingState): KindQueue? {
        val activeWeight = state.kinds.sumOf { if (it.isActive) it.weight else 0 }
        var best: KindQueue? = null
        var isBestUnderEntitlement = false
        var bestWeightedUsage = 0.0
        for (kind in state.kinds) {
            if (kind.waiting == 0) continue
            val isUnderEntitlement = kind.inUse < entitlement(state, kind, activeWeight)
            val weightedUsage = kind.usage.mean(state.nowMs) / kind.weight
            val better = best == null || (isUnderEntitlement && !isBestUnderEntitlement) || (isUnderEntitlement == isBestUnderEntitlement && weightedUsage < bestWeightedUsage)
            if (better && (isUnderEntitlement || state.free > reservedSlots(state, kind, activeWeight))) {
                best = kind
                isBestUnderEntitlement = isUnderEntitlement
                bestWeightedUsage = weightedUsage
            }
        }
        return best
    }

    private val KindQueue.isActive: Boolean get() = waiting > 0 || inUse > 0

    private fun entitlement(state: SharingState, kind: KindQueue, activeWeight: Int): Int {
        val total = if (kind.isActive) activeWeight else activeWeight + kind.weight
        return (state.granted.toLong() * kind.weight / total).toInt()
    }

    /** Slots that are kept free for interactive kinds other than [borrower]. */
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
        /** Slots in use by independent requests vary by the square root of their mean. */
        const val RESERVE_DEVIATIONS = 2.0

        /** Below this use, a kind is taken as idle and lends everything. */
        const val MIN_USAGE = 0.02
    }
}
