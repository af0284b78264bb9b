/** Limit, weight and usage of one plan in this data centre. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkKind

/** [limit] is null while no allowance is known for the plan. */
internal class PlanAccount(val name: String) {
    var limit: Resources? = null
    var weight: Int = 1

    /** Declared sizes of all running parts; limits count declared sizes, never estimates. */
    var used: Resources = Resources.NONE

    val kinds: LinkedHashMap<String, KindQueue> = LinkedHashMap()

    /** Queues that wait until the plan uses less. */
    val limited: LinkedHashSet<ShapeQueue> = LinkedHashSet()

    fun kindQueue(kind: WorkKind): KindQueue = kinds.getOrPut(kind.name) { KindQueue(this, kind) }

    fun mayAdd(size: Resources): Boolean = limit?.let { (used + size).fitsIn(it) } ?: false

    fun headroom(): Resources = limit?.let { it - used } ?: Resources.NONE
}
