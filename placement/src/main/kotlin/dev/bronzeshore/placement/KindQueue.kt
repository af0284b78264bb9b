/** Queue and usage of one kind of one plan: the unit of fair sharing. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkKind
import java.util.TreeSet

internal class KindQueue(val plan: PlanAccount, var kind: WorkKind) {
    val shapes: HashMap<Shape, ShapeQueue> = HashMap()

    /** Queues that may be tried, first in order first. */
    val ready: TreeSet<ShapeQueue> = TreeSet()

    /** Declared sizes of the running parts. */
    var used: Resources = Resources.NONE
}
