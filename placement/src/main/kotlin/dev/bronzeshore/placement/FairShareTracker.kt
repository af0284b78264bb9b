/** Fair shares of plans and of the kinds of a plan. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency

/**
 * Weighted dominant-resource shares of the whole data centre, in millionths: usage counts in the dimension that is used
 * most.
 *
 * Only plans and kinds with pending or running work count, so others may borrow an unused share.
 */
internal class FairShareTracker(private val workers: WorkerRegistry, private val plans: Collection<PlanState>) {
    private var computedVersion = -1L
    private var version = 0L
    private var computedTotal = Resources.NONE

    /** Must be called when a kind becomes active or inactive, or a weight changes. */
    fun invalidate() {
        version++
    }

    /** Recomputes all fair shares; cheap when nothing changed. */
    fun refresh() {
        if (computedVersion == version && computedTotal == workers.totalCapacity) return
        computedVersion = version
        computedTotal = workers.totalCapacity
        val planWeights = plans.filter { it.isActive() }.sumOf { it.shareWeight }
        for (plan in plans) {
            plan.dominantShareMicros = dominantShareMicros(plan.used)
            val planMicros = minOf(MICROS * plan.shareWeight / maxOf(1, planWeights), limitShareMicros(plan))
            val kindWeights = plan.kinds.values.filter { it.isActive }.sumOf { it.weight }
            for (kind in plan.kinds.values) {
                kind.dominantShareMicros = dominantShareMicros(kind.used)
                kind.fairShareMicros = if (kind.isActive) planMicros * kind.weight / kindWeights else 0
            }
        }
    }

    /** Adds [change], which may be negative, to the usage of the kind and the plan of [job]. */
    fun recordUsage(job: JobEntry, change: Resources) {
        val kind = job.kindQueue
        if (job.item.urgency == Urgency.URGENT) kind.urgentUsed += change
        kind.used += change
        kind.plan.used += change
        kind.dominantShareMicros = dominantShareMicros(kind.used)
        kind.plan.dominantShareMicros = dominantShareMicros(kind.plan.used)
    }

    /** True if [kind] stays within its share with [size] more, including what is reserved for it. */
    fun isWithinShare(kind: KindQueue, size: Resources): Boolean =
        dominantShareMicros(kind.used + kind.reserved + size) <= kind.fairShareMicros

    /** Like [isWithinShare] for urgent work, which may preempt other work of its kind: only urgent usage counts. */
    fun isUrgentWithinShare(kind: KindQueue, size: Resources): Boolean =
        dominantShareMicros(kind.urgentUsed + kind.reserved + size) <= kind.fairShareMicros

    /** True if the kind of [running] is at or above its share even without it; urgent parts count urgent usage only. */
    fun usesBorrowedShare(running: RunningPart): Boolean {
        val kind = running.job.kindQueue
        val counted = if (running.job.item.urgency == Urgency.URGENT) kind.urgentUsed else kind.used
        return dominantShareMicros(counted - running.job.item.size) >= kind.fairShareMicros
    }

    /** The kinds that exceed their share most, largest excess first. */
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

    /** Share that the limit of [plan] allows; it caps the share that the plan's weight gives. */
    private fun limitShareMicros(plan: PlanState): Long {
        val limit = plan.limit ?: return 0
        val total = workers.totalCapacity
        return minOf(
            micros(limit.processorsMillicores, total.processorsMillicores),
            micros(limit.memoryBytes, total.memoryBytes),
        )
    }

    private fun micros(amount: Long, total: Long): Long = when {
        total == 0L -> 0
        total <= MAX_EXACT_TOTAL -> amount * MICROS / total
        else -> {
            // Drops low bits that a share in millionths does not need, so that the product does not overflow a long.
            val shift = Long.SIZE_BITS - total.countLeadingZeroBits() - EXACT_BITS
            (amount shr shift) * MICROS / (total shr shift)
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
