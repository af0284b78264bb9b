/** Pending jobs of one kind with equal resource requests: either the first of them can be placed, or none can. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import java.util.TreeSet

/** Jobs of equal shape are interchangeable for the fit check; [gangParts] is 0 unless all parts start at once. */
internal data class Shape(val urgency: Urgency, val size: Resources, val gangParts: Int)

/** Whether a queue may be tried, or why it is blocked. */
internal enum class QueueState { EMPTY, READY, WAITS_FOR_ROOM, WAITS_FOR_LIMIT }

/** [sizeClass] grows with the size; patient batch work of about the same age is ordered large before small. */
internal class ShapeQueue(val kindQueue: KindQueue, val shape: Shape, private val sizeClass: Int) :
    Comparable<ShapeQueue> {
    val jobs: TreeSet<JobEntry> = TreeSet()
    var state: QueueState = QueueState.EMPTY

    /** Lower bound of the declared run times in the queue; lets backfill skip it without checking its jobs. */
    var shortestRunMs: Long = Long.MAX_VALUE

    /** Capacity that has to be free at once: for all parts of a gang, or for one part. */
    val demand: Resources = if (shape.gangParts > 0) shape.size * shape.gangParts else shape.size

    val rank: Int = if (kindQueue.kind.policy == Policy.IMPORTANT) 0 else shape.urgency.ordinal

    override fun compareTo(other: ShapeQueue): Int {
        val byRank = rank.compareTo(other.rank)
        if (byRank != 0) return byRank
        val bySize = if (isOrderedBySize && other.isOrderedBySize) compareByAgeAndSize(other) else 0
        return if (bySize != 0) bySize else jobs.first().compareTo(other.jobs.first())
    }

    private val isOrderedBySize: Boolean
        get() = kindQueue.kind.policy == Policy.BATCH && shape.urgency == Urgency.PATIENT

    private fun compareByAgeAndSize(other: ShapeQueue): Int {
        val byAge = (jobs.first().orderMs / SIZE_WINDOW_MS).compareTo(other.jobs.first().orderMs / SIZE_WINDOW_MS)
        return if (byAge != 0) byAge else other.sizeClass.compareTo(sizeClass)
    }

    private companion object {
        /** Small patient jobs wait behind large ones of the same window only, so that they do not starve. */
        const val SIZE_WINDOW_MS = 60_000L
    }
}
