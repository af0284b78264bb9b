/** Queue and usage of one kind of one plan: the unit of fair sharing. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkKind
import java.util.TreeSet

internal class KindQueue(val plan: PlanState, var kind: WorkKind) {
    val shapes: HashMap<Shape, ShapeQueue> = HashMap()

    /** Queues that may be tried, first in order first. */
    val ready: TreeSet<ShapeQueue> = TreeSet()

    /** Queues that wait for room or for the plan's limit. */
    val blocked: BlockedQueues = BlockedQueues()

    /** Declared sizes of the running parts. */
    var used: Resources = Resources.NONE

    /** Largest part of the data centre in use in any dimension, and what the weights entitle to, in millionths. */
    var dominantShareMicros: Long = 0
    var fairShareMicros: Long = 0

    /** Running parts in order of their start. */
    val running: LinkedHashSet<RunningPart> = LinkedHashSet()

    /** Declared sizes of the running urgent parts. */
    var urgentUsed: Resources = Resources.NONE

    /** Declared sizes that reservations keep for this kind. */
    var reserved: Resources = Resources.NONE

    /** Whether the shares of the others already count this kind as active. */
    var isCountedActive: Boolean = false

    /** Number of reservations for single parts of this kind that are not pressing. */
    var shareReservations: Int = 0

    /** Number of reservations for pressing work of this kind. */
    var timeCriticalReservations: Int = 0

    val weight: Long
        get() = kind.weight.coerceAtLeast(1).toLong()

    val isActive: Boolean
        get() = shapes.isNotEmpty() || running.isNotEmpty()

    val isBelowShare: Boolean
        get() = dominantShareMicros < fairShareMicros
}
