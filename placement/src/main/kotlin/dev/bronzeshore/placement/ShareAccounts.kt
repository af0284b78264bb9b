/** Fair shares between plans and between the kinds of a plan. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

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
            val kindWeights = plan.kinds.values.filter { it.isActive }.sumOf { it.weight }
            for (kind in plan.kinds.values) {
                kind.dominantMicros = dominantMicros(kind.used)
                kind.entitledMicros =
                    if (!kind.isActive) 0 else MICROS * plan.shareWeight / planWeights * kind.weight / kindWeights
            }
        }
    }

    /** Records that [kind] uses [change] more (or less, if negative). */
    fun use(kind: KindQueue, change: Resources) {
        kind.used += change
        kind.plan.used += change
        kind.dominantMicros = dominantMicros(kind.used)
        kind.plan.dominantMicros = dominantMicros(kind.plan.used)
    }

    /** True if [kind] stays below its share together with what is already kept for it. */
    fun isEntitled(kind: KindQueue): Boolean = dominantMicros(kind.used + kind.reserved) < kind.entitledMicros

    /** True if [kind] is at or above its share even without [size]. */
    fun borrows(kind: KindQueue, size: Resources): Boolean = dominantMicros(kind.used - size) >= kind.entitledMicros

    /** The kind that uses most above its share, other than [claimant], or null. */
    fun largestBorrower(claimant: KindQueue): KindQueue? = plans.asSequence()
        .flatMap { it.kinds.values }
        .filter { it !== claimant && it.dominantMicros > it.entitledMicros }
        .maxByOrNull { it.dominantMicros - it.entitledMicros }

    fun dominantMicros(size: Resources): Long {
        val total = workers.totalCapacity
        return maxOf(
            micros(size.processorsMillicores, total.processorsMillicores),
            micros(size.memoryBytes, total.memoryBytes),
            micros(size.accelerators, total.accelerators),
        )
    }

    private fun micros(part: Long, total: Long): Long = when {
        total == 0L -> 0
        total < MICROS -> part * MICROS / total
        else -> part / (total / MICROS)
    }

    private companion object {
        const val MICROS = 1_000_000L
    }
}
