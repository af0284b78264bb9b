/** Fair shares between plans and between the kinds of a plan. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency

/**
 * Weighted shares of the whole data centre in millionths; usage counts in the dimension that is used most.
 *
 * Only plans and kinds with pending or running work count, so an unused share is lent to the others.
 */
internal class ShareAccounts(private val workers: WorkerTable, private val plans: Collection<PlanAccount>) {
    private var knownVersion = -1L
    private var version = 0L
    private var knownTotal = Resources.NONE

    /** To be called when a kind starts or stops to have work, or a weight changes. */
    fun changed() {
        version++
    }

    /** Brings all entitlements up to date; cheap when nothing changed. */
    fun refresh() {
        if (knownVersion == version && knownTotal == workers.totalCapacity) return
        knownVersion = version
        knownTotal = workers.totalCapacity
        val planWeights = plans.filter { it.isActive() }.sumOf { it.shareWeight }
        for (plan in plans) {
            plan.dominantMicros = dominantMicros(plan.used)
            val planMicros = minOf(MICROS * plan.shareWeight / maxOf(1, planWeights), limitMicros(plan))
            val kindWeights = plan.kinds.values.filter { it.isActive }.sumOf { it.weight }
            for (kind in plan.kinds.values) {
                kind.dominantMicros = dominantMicros(kind.used)
                kind.entitledMicros = if (kind.isActive) planMicros * kind.weight / kindWeights else 0
            }
        }
    }

    /** Records that the kind of [job] uses [change] more (or less, if negative). */
    fun use(job: JobEntry, change: Resources) {
        val kind = job.kindQueue
        if (job.item.urgency == Urgency.URGENT) kind.urgentUsed += change
        kind.used += change
        kind.plan.used += change
        kind.dominantMicros = dominantMicros(kind.used)
        kind.plan.dominantMicros = dominantMicros(kind.plan.used)
    }

    /** True if [size] more for [kind] stays within its share together with what is already kept for it. */
    fun isEntitled(kind: KindQueue, size: Resources): Boolean =
        dominantMicros(kind.used + kind.reserved + size) <= kind.entitledMicros

    /** The same for urgent work, which may displace other work of its own kind: only pressing use counts. */
    fun isEntitledToUrgent(kind: KindQueue, size: Resources): Boolean =
        dominantMicros(kind.urgentUsed + kind.reserved + size) <= kind.entitledMicros

    /** True if the kind of [running] is at or above its share even without it; urgent work is counted separately. */
    fun isLent(running: RunningPart): Boolean {
        val kind = running.job.kindQueue
        val counted = if (running.job.item.urgency == Urgency.URGENT) kind.urgentUsed else kind.used
        return dominantMicros(counted - running.job.item.size) >= kind.entitledMicros
    }

    /** The kinds that use most above their share, largest excess first. */
    fun borrowers(): List<KindQueue> = plans
        .flatMap { it.kinds.values }
        .filter { it.dominantMicros > it.entitledMicros }
        .sortedByDescending { it.dominantMicros - it.entitledMicros }
        .take(MAX_BORROWERS)

    fun dominantMicros(size: Resources): Long {
        val total = workers.totalCapacity
        return maxOf(
            micros(size.processorsMillicores, total.processorsMillicores),
            micros(size.memoryBytes, total.memoryBytes),
            micros(size.accelerators, total.accelerators),
        )
    }

    /** A plan's kinds share what its limit allows if that is less than its weight gives. */
    private fun limitMicros(plan: PlanAccount): Long {
        val limit = plan.limit ?: return 0
        val total = workers.totalCapacity
        return minOf(
            micros(limit.processorsMillicores, total.processorsMillicores),
            micros(limit.memoryBytes, total.memoryBytes),
        )
    }

    private fun micros(part: Long, total: Long): Long = when {
        total == 0L -> 0
        total <= MOST_EXACT -> part * MICROS / total
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
        const val MOST_EXACT = 1L shl EXACT_BITS
    }
}
