/** How much longer than estimated tasks take on a worker, learned from their progress. */
package dev.bronzeshore.scheduler

/** Weight of a new observation; about five observations outweigh the past. */
private const val WEIGHT = 0.2

/** Observations outside of this range come from stalled or tiny tasks. */
private val PLAUSIBLE = 0.1..20.0

internal class WorkerSpeed {
    /** Run time over estimate; null before the first observation. */
    var slowness: Double? = null
        private set

    fun observe(ratio: Double) {
        if (ratio !in PLAUSIBLE) return
        slowness = slowness?.let { it + WEIGHT * (ratio - it) } ?: ratio
    }
}
