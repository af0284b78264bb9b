/** Fair shares between plans and between the kinds of a plan. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency

/**
 * Weighted shares of the whole data centre in millionths; usage counts in the dimension that is used most.
 *
 * Only plans and kinds with pending or running work count, so an unused share is lent to the others.
 */
internal class FairShareTracker(private val workers: WorkerRegistry, private val plans: Collection<PlanState>) {
    private var knownVersion = -1L
    private var version = 0L
    private var knownTotal = Resources.NONE

    /** To be called when a kind starts or stops to have work, or a weight changes. */
    fun invalidate() {
        version++
    }

    /** Brings all entitlements up to date; cheap when nothing changed. */
    fun refresh() {
        if (knownVersion == version && knownTotal == workers.totalCapacity) return
        knownVersion = version
        knownTotal = workers.totalCapacity
        val planWeights = plans.filter { it.isActive() }.sumOf { it.shareWeight }
        for (plan in plans) {
            plan.dominantShareMicros = dominantShareMicros(plan.used)
            val planMicros = minOf(MICROS * plan.shareWeight / maxOf(1, planWeights), limitMicros(plan))
            val kindWeights = plan.kinds.values.filter { it.isActive }.sumOf { it.weight }
            for (kind in plan.kinds.values) {
                kind.dominantShareMicros = dominantShareMicros(kind.used)
                kind.fairShareMicros = if (kind.isActive) planMicros * kind.weight / kindWeights else 0
            }
        }
    }

    /** Records that the kind of [job] uses [change] more (or less, if negative). */
    fun recordUsage(job: JobEntry, change: Resources) {
        val kind = job.kindQueue
        if (job.item.urgency == Urgency.URGENT) kind.urgentUsed += change
        kind.used += change
        kind.plan.used += change
        kind.dominantShareMicros = dominantShareMicros(kind.used)
        kind.plan.dominantShareMicros = dominantShareMicros(kind.plan.used)
    }

    /** True if [size] more for [kind] stays within its share together with what is already kept for it. */
    fun isWithinShare(kind: KindQueue, size: Resources): Boolean =
        dominantShareMicros(kind.used + kind.reserved + size) <= kind.fairShareMicros

    /** The same for urgent work, which may displace other work of its own kind: only pressing use counts. */
    fun isUrgentWithinShare(kind: KindQueue, size: Resources): Boolean =
        dominantShareMicros(kind.urgentUsed + kind.reserved + size) <= kind.fairShareMicros

    /** True if the kind of [running] is at or above its share even without it; urgent work is counted separately. */
    fun usesBorrowedShare(running: RunningPart): Boolean {
        val kind = running.job.kindQueue
        val counted = if (running.job.item.urgency == Urgency.URGENT) kind.urgentUsed else kind.used
        return dominantShareMicros(counted - running.job.item.size) >= kind.fairShareMicros
    }

    /** The kinds that use most above their share, largest excess first. */
    fun borrowers(): List<KindQueue> = plans
        .flatMap { it.kinds.values }
        .filter { it.dominantShareMicros > it.fairShareMicros }
        .sortedByDescending { it.dominantShareMicros - it.fairShareMicros }
        .take(MAX_BORROWERS)

    fun dominantShareMicros(size: Resources): Long {
        val total = workers.totalCapacity
        return maxOf(
            micros(size.processorsMillicores, total.processorsMillicores),
            micros(size.memoryBytes, total.memoryBytes),
            micros(size.accelerators, total.accelerators),
        )
    }

    /** A plan's kinds share what its limit allows if that is less than its weight gives. */
    private fun limitMicros(plan: PlanState): Long {
        val limit = plan.limit ?: return 0
        val total = workers.totalCapacity
        return minOf(
            micros(limit.processorsMillicores, total.processorsMillicores),
            micros(limit.memoryBytes, total.memoryBytes),
        )
    }

    private fun micros(part: Long, total: Long): Long = when {
        total == 0L -> 0
        total <= MAX_EXACT_TOTAL -> part * MICROS / total
        else -> {
            // Drops low bits that a share in millionths does not need, so that the product fits into a long.
            val shift = Long.SIZE_BITS - total.countLeadingZeroBits() - EXACT_BITS
            (part shr shift) * MICROS / (total shr shift)
        }
    }

    private companion object {
        const val MICROS = 1_000_000L
        const val MAX_BORROWERS = 3

        /** A product of this and [MICROS] still fits into a long. */
        const val EXACT_BITS = 42
        const val MAX_EXACT_TOTAL = 1L shl EXACT_BITS
    }
}
