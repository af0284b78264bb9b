/** Ranks workers that fit a part: the lower the score, the better the fit. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

internal object FitScore {
    /** Scores of one dimension run from 0 (nothing left over) to this. */
    private const val SCALE: Long = 1_000_000

    /**
     * Best fit: the least room left over, as parts of the worker's capacity, summed over the dimensions.
     *
     * docs/decisions/0002-placement-policy.md has the scores that were measured and did no better.
     */
    fun tight(worker: WorkerState, size: Resources): Long {
        val free = worker.free
        val capacity = worker.capacity
        return leftOver(free.processorsMillicores, size.processorsMillicores, capacity.processorsMillicores) +
            leftOver(free.memoryBytes, size.memoryBytes, capacity.memoryBytes) +
            leftOver(free.accelerators, size.accelerators, capacity.accelerators)
    }

    /** Best fit among the racks that hold the fewest parts of the same job; [partsInRack] counts them. */
    fun spread(worker: WorkerState, size: Resources, partsInRack: Int): Long =
        partsInRack * RACK_PENALTY + tight(worker, size)

    private fun leftOver(free: Long, size: Long, capacity: Long): Long =
        if (capacity == 0L) 0 else (free - size) / (capacity / SCALE + 1)

    /** Larger than any sum of the three dimensions. */
    private const val RACK_PENALTY = 10 * SCALE
}
