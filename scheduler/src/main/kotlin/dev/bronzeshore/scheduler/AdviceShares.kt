/** Learns for each queue which share of the workers may run its steps. */
package dev.bronzeshore.scheduler

/** Answers that an unknown queue starts with, and how many of them are good. */
private const val PRIOR_ASKED = 8.0
private const val PRIOR_GOOD = 3.0

/** A share below this is not told from none; it bounds the number of workers that a step asks about. */
private const val MIN_SHARE = 0.05

internal class AdviceShares {
    private class Counts(var asked: Double, var good: Double)

    private val countsOfQueue = HashMap<String, Counts>()

    fun record(queue: String, asked: Int, good: Int) {
        val counts = countsOfQueue.getOrPut(queue) { Counts(PRIOR_ASKED, PRIOR_GOOD) }
        counts.asked += asked
        counts.good += good
    }

    /** Expected share of good answers for steps of [queue]. */
    fun goodShare(queue: String): Double =
        (countsOfQueue[queue]?.let { it.good / it.asked } ?: (PRIOR_GOOD / PRIOR_ASKED)).coerceIn(MIN_SHARE, 1.0)
}
