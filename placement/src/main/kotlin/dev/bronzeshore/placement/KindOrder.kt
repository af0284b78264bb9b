/** Order in which kinds of work are served. */
package dev.bronzeshore.placement

/**
 * Kinds below their share come first, by urgency and then by usage relative to weight; time-critical work leads them.
 *
 * Kinds at or above their share follow by usage relative to weight, so that unused shares are divided fairly.
 */
internal object KindOrder {
    /** Returns the queue to serve first of [current] (null for none) and [other]; their kinds may differ. */
    fun first(current: ShapeQueue?, other: ShapeQueue, nowMs: Long): ShapeQueue {
        if (current == null) return other
        val currentTier = tierOf(current, nowMs)
        val otherTier = tierOf(other, nowMs)
        val otherIsFirst = if (currentTier != otherTier) {
            otherTier < currentTier
        } else {
            precedes(other, current, otherTier)
        }
        return if (otherIsFirst) other else current
    }

    private fun tierOf(queue: ShapeQueue, nowMs: Long): Int = when {
        !queue.kindQueue.isBelowShare -> BORROWING
        queue.jobs.first().isTimeCritical(nowMs) -> TIME_CRITICAL
        else -> BELOW_SHARE
    }

    private fun precedes(queue: ShapeQueue, other: ShapeQueue, tier: Int): Boolean {
        val byUsage = compareUsage(queue.kindQueue, other.kindQueue)
        val byRank = queue.rank.compareTo(other.rank)
        val first = if (tier == BORROWING) byUsage else byRank
        val second = if (tier == BORROWING) byRank else byUsage
        return when {
            first != 0 -> first < 0
            second != 0 -> second < 0
            else -> queue < other
        }
    }

    private fun compareUsage(kind: KindQueue, other: KindQueue): Int {
        val byPlan = (kind.plan.dominantShareMicros * other.plan.shareWeight)
            .compareTo(other.plan.dominantShareMicros * kind.plan.shareWeight)
        if (byPlan != 0) return byPlan
        return (kind.dominantShareMicros * other.weight).compareTo(other.dominantShareMicros * kind.weight)
    }

    private const val TIME_CRITICAL = 0
    private const val BELOW_SHARE = 1
    private const val BORROWING = 2
}
