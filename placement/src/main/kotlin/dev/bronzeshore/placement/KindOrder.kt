/** Which kind of work is served next. */
package dev.bronzeshore.placement

/**
 * Kinds below their share go first, by urgency and then by use relative to weight; of these, pressing work leads.
 *
 * Kinds at or above their share take what is left by use relative to weight, so that a lent share is divided fairly.
 */
internal object KindOrder {
    /** Returns the queue to serve first among [current] (null for none) and [other], which may be of any kinds. */
    fun first(current: ShapeQueue?, other: ShapeQueue, nowMs: Long): ShapeQueue {
        if (current == null) return other
        val currentLane = laneOf(current, nowMs)
        val otherLane = laneOf(other, nowMs)
        val otherLeads = if (currentLane != otherLane) {
            otherLane < currentLane
        } else {
            precedes(other, current, otherLane)
        }
        return if (otherLeads) other else current
    }

    private fun laneOf(queue: ShapeQueue, nowMs: Long): Int = when {
        !queue.kindQueue.isUnderShare -> LENT
        queue.jobs.first().isPressing(nowMs) -> PRESSING
        else -> ENTITLED
    }

    private fun precedes(queue: ShapeQueue, other: ShapeQueue, lane: Int): Boolean {
        val byUse = compareUse(queue.kindQueue, other.kindQueue)
        val byRank = queue.rank.compareTo(other.rank)
        val first = if (lane == LENT) byUse else byRank
        val second = if (lane == LENT) byRank else byUse
        return when {
            first != 0 -> first < 0
            second != 0 -> second < 0
            else -> queue < other
        }
    }

    private fun compareUse(kind: KindQueue, other: KindQueue): Int {
        val byPlan = (kind.plan.dominantMicros * other.plan.shareWeight)
            .compareTo(other.plan.dominantMicros * kind.plan.shareWeight)
        if (byPlan != 0) return byPlan
        return (kind.dominantMicros * other.weight).compareTo(other.dominantMicros * kind.weight)
    }

    private const val PRESSING = 0
    private const val ENTITLED = 1
    private const val LENT = 2
}
