/** The owner's state for one worker between calls. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskOrder
import dev.bronzeshore.core.Vm

/** A part that is assigned to a worker; equal to another one if it refers to the same [part] object. */
internal class AssignedPart(val job: TrackedJob, val part: TrackedPart) {
    operator fun component1(): TrackedJob = job

    operator fun component2(): TrackedPart = part

    override fun equals(other: Any?): Boolean = other is AssignedPart && other.part === part

    override fun hashCode(): Int = System.identityHashCode(part)
}

internal class WorkerSession(var vm: Vm) {
    /** Time of the newest valid report by the worker's clock; 0 until the first one. */
    var observedAtMs: Long = 0
    var reportedCapacity: Resources? = null
    var failedCalls: Int = 0

    /** False while an operator's mark, the VM list or the quarantine excludes the worker from new work. */
    var isSchedulable: Boolean = false

    /** True once the roster row contains this worker, so that a later owner requests its report. */
    var isInRoster: Boolean = false

    /** False until the first report, and again after consecutive failed calls until the next report. */
    var isResponsive: Boolean = false

    /** Latest end of any task lease that was sent to this worker. */
    var lastLeaseUntilMs: Long = 0

    private val assigned = LinkedHashSet<AssignedPart>()
    private val orders = LinkedHashSet<TaskOrder>()
    private val acknowledged = LinkedHashSet<TaskId>()

    val workerId: String get() = vm.id
    val isAccepting: Boolean get() = isSchedulable && isInRoster && isResponsive && observedAtMs > 0

    /** Parts that are on this worker; without this index each heartbeat would scan all open jobs. */
    fun parts(): List<AssignedPart> {
        assigned.removeIf { !it.part.isOnWorker || it.part.workerId != workerId }
        return assigned.toList()
    }

    fun assign(job: TrackedJob, part: TrackedPart) {
        assigned += AssignedPart(job, part)
    }

    fun addOrder(order: TaskOrder) {
        orders += order
    }

    fun acknowledge(task: TaskId) {
        acknowledged += task
    }

    /** Orders and acknowledgements are sent with each call until one succeeds; both are idempotent at the worker. */
    fun pendingOrders(): List<TaskOrder> = orders.toList()

    fun pendingAcknowledgements(): List<TaskId> = acknowledged.toList()

    fun markDelivered(sentOrders: List<TaskOrder>, sentAcknowledgements: List<TaskId>) {
        orders.removeAll(sentOrders.toSet())
        acknowledged.removeAll(sentAcknowledgements.toSet())
    }
}
