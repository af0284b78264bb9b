/** Capacity of one worker and what is allocated of it. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Capacity accounting of one worker; [slot] is its position in the indexes. */
internal class WorkerState(val workerId: String, val slot: Int) {
    var rack: String = ""
    var capacity: Resources = Resources.NONE
    var accepting: Boolean = false

    /** True if the worker has left the fleet; the entry remains while parts are still allocated. */
    var removed: Boolean = false

    /** Sum of the allocations of all parts on this worker. */
    var allocated: Resources = Resources.NONE

    /** Capacity reserved for work that is not placed yet. */
    var reserved: Resources = Resources.NONE

    /** Sum of the allocations of parts that urgent work may preempt, including those being preempted. */
    var preemptible: Resources = Resources.NONE

    /** Sum of the allocations of parts that are being preempted. */
    var stopping: Resources = Resources.NONE

    /** Sum of the most recently reported usage of all parts. */
    var reportedUsage: Resources = Resources.NONE

    /** Free capacity at the last update of the indexes. */
    var indexedFree: Resources = Resources.NONE

    val parts: LinkedHashSet<RunningPart> = LinkedHashSet()

    /** Reservations on this worker, oldest first. */
    val reservations: ArrayList<WorkerReservation> = ArrayList()

    /** Capacity not allocated to running parts; negative where capacity shrank or estimates rose. */
    val unallocated: Resources
        get() = capacity - allocated

    /** Capacity that is neither allocated nor reserved. */
    val free: Resources
        get() = capacity - allocated - reserved
}
