/** Total capacity of the fleet. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Counts workers by capacity; fleets have few different capacities, so queries are cheap. */
internal class FleetCapacity {
    private val workersByCapacity: HashMap<Resources, Int> = HashMap()

    var total: Resources = Resources.NONE
        private set

    private var workerCount: Int = 0

    /**
     * Logarithmic class of [size] in its largest dimension, two classes for each doubling.
     *
     * Sizes are relative to the average worker, so that processors and memory can be compared.
     */
    fun sizeClassOf(size: Resources): Int {
        if (workerCount == 0) return 0
        val relativeSize = maxOf(
            relativeToAverage(size.processorsMillicores, total.processorsMillicores),
            relativeToAverage(size.memoryBytes, total.memoryBytes),
            relativeToAverage(size.accelerators, total.accelerators),
        )
        val magnitude = Long.SIZE_BITS - relativeSize.countLeadingZeroBits()
        val isUpperHalf = magnitude >= 2 && (relativeSize shr (magnitude - 2)) and 1L == 1L
        return magnitude * 2 + if (isUpperHalf) 1 else 0
    }

    private fun relativeToAverage(size: Long, total: Long): Long = if (total == 0L) {
        0
    } else {
        size * SIZE_SCALE / maxOf(1, total / workerCount)
    }

    fun change(capacity: Resources, workers: Int) {
        if (capacity == Resources.NONE) return
        total += capacity * workers
        workerCount += workers
        workersByCapacity.merge(capacity, workers) { old, added -> (old + added).takeIf { it > 0 } }
    }

    /** True if [parts] parts of [size] fit on the empty fleet at the same time; also true while no worker is known. */
    fun fits(size: Resources, parts: Int): Boolean {
        if (workersByCapacity.isEmpty()) return true
        var fitting = 0L
        for ((capacity, workers) in workersByCapacity) fitting += size.timesFittingIn(capacity) * workers
        return fitting >= parts
    }

    private companion object {
        /** Fine enough to tell a hundredth of a core from a tenth, and small enough to multiply bytes by it. */
        const val SIZE_SCALE = 65_536L
    }
}

/** How many times this size fits into [available]. */
internal fun Resources.timesFittingIn(available: Resources): Long = minOf(
    quotient(available.processorsMillicores, processorsMillicores),
    quotient(available.memoryBytes, memoryBytes),
    quotient(available.accelerators, accelerators),
)

private fun quotient(available: Long, size: Long): Long = if (size == 0L) Int.MAX_VALUE.toLong() else available / size
