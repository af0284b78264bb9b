/** Ranks workers that fit a part: the lower the score, the better the fit. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

internal object FitScore {
    /** Scores of one dimension run from 0 (nothing left over) to this. */
    private const val SCALE: Long = 1_000_000

    /**
     * Best fit: little room left over, and in the same proportion of processors and memory.
     *
     * Room of only one dimension is of no use to later work, so the larger left-over part counts with 3/2 and the
     * smaller one with -1/2. docs/decisions/0002-placement-policy.md has the alternatives that were measured.
     */
    fun tight(room: WorkerRoom, size: Resources): Long {
        val free = room.free
        val capacity = room.capacity
        val processors = leftOver(free.processorsMillicores, size.processorsMillicores, capacity.processorsMillicores)
        val memory = leftOver(free.memoryBytes, size.memoryBytes, capacity.memoryBytes)
        val uneven = maxOf(processors, memory) + (maxOf(processors, memory) - minOf(processors, memory)) / 2
        return uneven + leftOver(free.accelerators, size.accelerators, capacity.accelerators)
    }

    /** Best fit among the racks that hold the fewest parts of the same job; [partsInRack] counts them. */
    fun spread(room: WorkerRoom, size: Resources, partsInRack: Int): Long =
        partsInRack * RACK_PENALTY + tight(room, size)

    private fun leftOver(free: Long, size: Long, capacity: Long): Long =
        if (capacity == 0L) 0 else (free - size) / (capacity / SCALE + 1)

    /** Larger than any sum of the three dimensions. */
    private const val RACK_PENALTY = 10 * SCALE
}
