/** Limit, weight and usage of a plan in this data centre. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkKind

/** [limit] is null while no allowance is known for the plan. */
internal class PlanState(val name: String) {
    var limit: Resources? = null
    var weight: Int = 1

    /** Declared sizes of all running parts; limits apply to declared sizes, never to estimates. */
    var used: Resources = Resources.NONE

    /**
     * Declared sizes of the parts that have a reservation.
     *
     * Together with [used] this may exceed the limit: then other work of the plan waits until the reserved work fits
     * under the limit, because small work could otherwise keep the plan at its limit indefinitely.
     */
    var reserved: Resources = Resources.NONE

    /** Declared sizes of parts that are being preempted. */
    var stopping: Resources = Resources.NONE

    val reservations: LinkedHashSet<Reservation> = LinkedHashSet()

    /** Largest share of the data centre in use in any dimension, in millionths. */
    var dominantShareMicros: Long = 0

    /** Gang of this plan that has a reservation; at most one at a time. */
    var reservedGang: JobEntry? = null

    val kinds: LinkedHashMap<String, KindQueue> = LinkedHashMap()

    /** Returns the queue of [kind] and updates its weight to the newest declaration. */
    fun kindQueue(kind: WorkKind): KindQueue {
        val queue = kinds.getOrPut(kind.name) { KindQueue(this, kind) }
        queue.kind = kind
        return queue
    }

    val shareWeight: Long
        get() = weight.coerceAtLeast(1).toLong()

    fun isActive(): Boolean = kinds.values.any { it.isActive }

    /** True if the limit allows [size] more. */
    fun allows(size: Resources): Boolean = limit?.let { (used + size).fitsIn(it) } ?: false

    /** True if the limit allows [size] more besides reservations, of which [own] are for the same work. */
    fun allowsBesideReserved(size: Resources, own: Resources): Boolean =
        limit?.let { (used + reserved - own + size).fitsIn(it) } ?: false

    /** What the limit leaves besides usage and reservations. */
    fun headroom(): Resources = limit?.let { it - used - reserved } ?: Resources.NONE
}
