/** Queue and usage of one kind of one plan: the unit of fair sharing. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkKind
import java.util.TreeSet

internal class KindQueue(val plan: PlanState, var kind: WorkKind) {
    val shapes: HashMap<Shape, ShapeQueue> = HashMap()

    /** Queues that may be tried, in priority order. */
    val ready: TreeSet<ShapeQueue> = TreeSet()

    /** Queues that wait for free capacity or for the plan's limit. */
    val blocked: BlockedQueues = BlockedQueues()

    /** Declared sizes of the running parts. */
    var used: Resources = Resources.NONE

    /** Largest share of the data centre in use in any dimension, and the fair share by weight, in millionths. */
    var dominantShareMicros: Long = 0
    var fairShareMicros: Long = 0

    /** Running parts, oldest first. */
    val running: LinkedHashSet<RunningPart> = LinkedHashSet()

    /** Declared sizes of the running urgent parts. */
    var urgentUsed: Resources = Resources.NONE

    /** Declared sizes of the parts that have a reservation. */
    var reserved: Resources = Resources.NONE

    /** True if the fair shares of the other kinds take this kind into account as active. */
    var isCountedActive: Boolean = false

    /** Number of reservations for single parts of this kind that are not time-critical. */
    var shareReservations: Int = 0

    /** Number of reservations for time-critical work of this kind. */
    var timeCriticalReservations: Int = 0

    val weight: Long
        get() = kind.weight.coerceAtLeast(1).toLong()

    val isActive: Boolean
        get() = shapes.isNotEmpty() || running.isNotEmpty()

    val isBelowShare: Boolean
        get() = dominantShareMicros < fairShareMicros
}
