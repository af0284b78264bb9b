/** Which kind of work is served next. */
package dev.bronzeshore.placement

/**
 * Kinds below their share go first, by urgency and then by use relative to weight; of these, pressing work leads.
 *
 * Kinds at or above their share take what is left by use relative to weight, so that a lent share is divided fairly.
 */
internal object KindOrder {
    fun first(kinds: Collection<KindQueue>, nowMs: Long): KindQueue? {
        var best: KindQueue? = null
        var bestLane = Int.MAX_VALUE
        for (kind in kinds) {
            val lane = laneOf(kind, nowMs)
            val current = best
            val leads = if (current == null || lane != bestLane) lane < bestLane else precedes(kind, current, lane)
            if (!leads) continue
            best = kind
            bestLane = lane
        }
        return best
    }

    private fun laneOf(kind: KindQueue, nowMs: Long): Int = when {
        !kind.isUnderShare -> LENT
        kind.ready.first().jobs.first().isPressing(nowMs) -> PRESSING
        else -> ENTITLED
    }

    private fun precedes(kind: KindQueue, other: KindQueue, lane: Int): Boolean {
        val byUse = compareUse(kind, other)
        val byRank = kind.ready.first().rank.compareTo(other.ready.first().rank)
        val first = if (lane == LENT) byUse else byRank
        val second = if (lane == LENT) byRank else byUse
        return when {
            first != 0 -> first < 0
            second != 0 -> second < 0
            else -> kind.ready.first() < other.ready.first()
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
