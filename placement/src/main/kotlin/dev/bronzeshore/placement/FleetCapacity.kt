/** What the fleet holds in all when it is empty. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Counts workers by capacity; fleets have few different capacities, so questions about the fleet are cheap. */
internal class FleetCapacity {
    private val workersByCapacity: HashMap<Resources, Int> = HashMap()

    var total: Resources = Resources.NONE
        private set

    fun change(capacity: Resources, workers: Int) {
        if (capacity == Resources.NONE) return
        total += capacity * workers
        workersByCapacity.merge(capacity, workers) { old, added -> (old + added).takeIf { it > 0 } }
    }

    /** True if [parts] parts of [size] fit together; also true while no worker is known. */
    fun fits(size: Resources, parts: Int): Boolean {
        if (workersByCapacity.isEmpty()) return true
        var fitting = 0L
        for ((capacity, workers) in workersByCapacity) fitting += size.timesIn(capacity) * workers
        return fitting >= parts
    }
}

/** How many times this size fits into [room]. */
internal fun Resources.timesIn(room: Resources): Long = minOf(
    quotient(room.processorsMillicores, processorsMillicores),
    quotient(room.memoryBytes, memoryBytes),
    quotient(room.accelerators, accelerators),
)

private fun quotient(room: Long, size: Long): Long = if (size == 0L) Int.MAX_VALUE.toLong() else room / size
