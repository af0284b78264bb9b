/** Scores workers that fit a part: the lower the score, the better the fit. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

internal object FitScore {
    /** Largest score of one dimension; 0 means that no capacity is left over. */
    private const val SCALE: Long = 1_000_000

    /**
     * Best fit: the least capacity left over, as fractions of the worker's capacity, summed over the dimensions.
     *
     * docs/decisions/0002-placement-policy.md compares it with other scores, which did no better.
     */
    fun bestFit(worker: WorkerState, size: Resources): Long {
        val free = worker.free
        val capacity = worker.capacity
        return leftOver(free.processorsMillicores, size.processorsMillicores, capacity.processorsMillicores) +
            leftOver(free.memoryBytes, size.memoryBytes, capacity.memoryBytes) +
            leftOver(free.accelerators, size.accelerators, capacity.accelerators)
    }

    /** Best fit among the racks that hold the fewest parts of the same job; [partsInRack] counts them. */
    fun rackSpread(worker: WorkerState, size: Resources, partsInRack: Int): Long =
        partsInRack * RACK_PENALTY + bestFit(worker, size)

    private fun leftOver(free: Long, size: Long, capacity: Long): Long =
        if (capacity == 0L) 0 else (free - size) / (capacity / SCALE + 1)

    /** Larger than any sum of the three dimensions. */
    private const val RACK_PENALTY = 10 * SCALE
}
