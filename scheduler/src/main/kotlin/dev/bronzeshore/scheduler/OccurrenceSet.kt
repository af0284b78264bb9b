/** A set of occurrence numbers, kept as ranges, so that its size depends on the gaps and not on the numbers in it. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.OccurrenceRange
import java.util.TreeMap

internal class OccurrenceSet {
    /** Last number of each range by its first; ranges neither overlap nor touch. */
    private val lastByFirst = TreeMap<Int, Int>()

    /** How many numbers are in the set. */
    var count = 0
        private set

    val ranges: List<OccurrenceRange> get() = lastByFirst.map { (first, last) -> OccurrenceRange(first, last) }

    operator fun contains(number: Int): Boolean = lastByFirst.floorEntry(number)?.let { it.value >= number } ?: false

    fun add(number: Int) {
        if (number in this) return
        count++
        val before = lastByFirst.floorEntry(number)
        val first = if (before != null && before.value == number - 1) before.key else number
        lastByFirst[first] = lastByFirst.remove(number + 1) ?: number
    }
}
