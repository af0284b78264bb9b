/** What one worker holds and what is taken from it. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Mutable room of one worker; [slot] is its position in the indexes. */
internal class WorkerState(val workerId: String, val slot: Int) {
    var rack: String = ""
    var capacity: Resources = Resources.NONE
    var accepting: Boolean = false

    /** True once the worker left the fleet while parts still had to be accounted for. */
    var removed: Boolean = false

    /** Sum of the charges of all parts on this worker. */
    var allocated: Resources = Resources.NONE

    /** Room kept for work that is not placed yet. */
    var reserved: Resources = Resources.NONE

    /** Sum of the charges of parts that may be asked to leave or are leaving. */
    var preemptible: Resources = Resources.NONE

    /** Sum of the charges of parts that were told to leave. */
    var stopping: Resources = Resources.NONE

    /** Sum of the most recent reported use. */
    var reportedUsage: Resources = Resources.NONE

    /** Free room at the last update of the indexes. */
    var indexedFree: Resources = Resources.NONE

    val parts: LinkedHashSet<RunningPart> = LinkedHashSet()

    /** Reservations on this worker, oldest first. */
    val reservations: ArrayList<WorkerReservation> = ArrayList()

    /** Room that running parts leave; negative where capacity shrank or estimates rose. */
    val unallocated: Resources
        get() = capacity - allocated

    /** Room that any work may take. */
    val free: Resources
        get() = capacity - allocated - reserved
}
