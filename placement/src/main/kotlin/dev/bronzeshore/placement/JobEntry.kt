/** A job in the engine with its pending and running parts. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkItem
import java.util.TreeMap
import java.util.TreeSet

/** True if all parts start together or not at all. */
internal fun WorkItem.isGang(): Boolean = allAtOnce || kind.policy == Policy.GANG

/** A tracked job; [sequence] is the order of arrival and breaks ties, so that every ordering is total. */
internal class JobEntry(val item: WorkItem, val kindQueue: KindQueue, val sequence: Long) : Comparable<JobEntry> {
    val pending: TreeSet<Int> = TreeSet()
    val running: TreeMap<Int, RunningPart> = TreeMap()
    val reservations: ArrayList<Reservation> = ArrayList()

    /** Number of running parts in each rack; maintained only for work that is spread over racks. */
    val partsByRack: HashMap<String, Int> = HashMap()

    val budget: PreemptionBudget = PreemptionBudget()

    /** Queue of the job while parts are pending, otherwise null. */
    var shapeQueue: ShapeQueue? = null

    /** True once a part was placed: from then on the job may not be refused as "not run". */
    var started: Boolean = false

    /** When the job was queued, or when its most recent part was placed. */
    var waitingSinceMs: Long = 0

    val isGang: Boolean = item.isGang()

    /** Gang parts and services are spread over racks, so that one rack failure does not take most of them. */
    val isSpread: Boolean = isGang || item.kind.policy == Policy.INTERACTIVE

    val isImportant: Boolean = item.kind.policy == Policy.IMPORTANT

    /** Important work is ordered by its latest start, all other work by its age. */
    val orderMs: Long = if (isImportant) item.startBeforeMs ?: Long.MAX_VALUE else item.acceptedAtMs

    /** True for urgent work and for important work close to its latest start. */
    fun isTimeCritical(nowMs: Long): Boolean = item.urgency == Urgency.URGENT ||
        (isImportant && item.startBeforeMs.let { it != null && nowMs >= it - TIME_CRITICAL_BEFORE_MS })

    override fun compareTo(other: JobEntry): Int {
        val byOrder = orderMs.compareTo(other.orderMs)
        return if (byOrder != 0) byOrder else sequence.compareTo(other.sequence)
    }

    internal companion object {
        /** Covers a checkpoint (2 s), one retry of it, and a change of owner. */
        const val TIME_CRITICAL_BEFORE_MS: Long = 60_000
    }
}
