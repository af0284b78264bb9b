/**
 * The advice calls that steps want, in the order of the steps.
 *
 * The load it answers: thousands of waiting steps, most of which know no worker yet. A planning round that works out a
 * call for each of them takes so long that the processes wait for their next calls, and more steps wait each
 * second while workers are idle. So a round collects no more calls of each length than can be made soon, and the
 * dispatcher takes the next ones as processes become free, without a round in between. Not thread-safe.
 */
package dev.bronzeshore.scheduler

/** Calls collected for each process that can make calls: one that begins at once, and some for the next round. */
private const val NEEDS_PER_CLIENT = 3

internal class AdviceNeeds(clients: Int) {
    private val maxOfLength = clients * NEEDS_PER_CLIENT
    private val required = ArrayDeque<AdviceNeed>()
    private val optional = ArrayDeque<AdviceNeed>()
    private val counts = HashMap<CallLength, Int>()

    /** True if no more calls of [length] are to be collected. */
    fun isFull(length: CallLength): Boolean = (counts[length] ?: 0) >= maxOfLength

    fun add(need: AdviceNeed) {
        counts.merge(need.length, 1, Int::plus)
        if (need.isOptional) optional += need else required += need
    }

    /** The needs, those without which a step cannot start first. */
    val all: List<AdviceNeed> get() = required + optional

    fun remove(need: AdviceNeed) {
        if (!required.remove(need)) optional.remove(need)
    }
}
