/** One job as the engine tracks it: its pending and its running parts. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.WorkItem
import java.util.TreeMap
import java.util.TreeSet

/** True if all parts start together or none. */
internal fun WorkItem.isGang(): Boolean = allAtOnce || kind.policy == Policy.GANG

/** A known job; [sequence] is the order of arrival and makes every ordering total. */
internal class JobEntry(val item: WorkItem, val kindQueue: KindQueue, val sequence: Long) : Comparable<JobEntry> {
    val pending: TreeSet<Int> = TreeSet()
    val running: TreeMap<Int, RunningPart> = TreeMap()

    /** Queue that holds the job while parts are pending. */
    var shapeQueue: ShapeQueue? = null

    /** True once any part was placed: the job may no longer be refused as "not run". */
    var started: Boolean = false

    val isGang: Boolean = item.isGang()

    /** Important work goes by its deadline, all other work by its age. */
    val orderMs: Long =
        if (item.kind.policy == Policy.IMPORTANT) item.startBeforeMs ?: Long.MAX_VALUE else item.acceptedAtMs

    override fun compareTo(other: JobEntry): Int {
        val byOrder = orderMs.compareTo(other.orderMs)
        return if (byOrder != 0) byOrder else sequence.compareTo(other.sequence)
    }
}
