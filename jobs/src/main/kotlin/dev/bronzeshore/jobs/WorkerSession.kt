/** What the owner keeps about one worker between calls. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskOrder
import dev.bronzeshore.core.Vm

/** A part on the worker that holds it. */
internal class AssignedPart(val job: TrackedJob, val part: TrackedPart) {
    operator fun component1(): TrackedJob = job

    operator fun component2(): TrackedPart = part

    override fun equals(other: Any?): Boolean = other is AssignedPart && other.part === part

    override fun hashCode(): Int = System.identityHashCode(part)
}

internal class WorkerSession(var vm: Vm) {
    /** Time at the worker of its newest report; 0 until the first one. */
    var observedAtMs: Long = 0
    var reportedCapacity: Resources? = null
    var failedCalls: Int = 0

    /** False while the operators, the VM list or the quarantine keep new work away. */
    var isWanted: Boolean = false

    /** True once the roster row names this worker, so that a later owner asks it for a report. */
    var isInRoster: Boolean = false

    /** False from a refused or failed start until the next report. */
    var isTrusted: Boolean = false

    /** End of the latest task lease that was ever sent to it. */
    var lastLeaseUntilMs: Long = 0

    private val assigned = LinkedHashSet<AssignedPart>()
    private val orders = LinkedHashSet<TaskOrder>()
    private val acknowledged = LinkedHashSet<TaskId>()

    val workerId: String get() = vm.id
    val isAccepting: Boolean get() = isWanted && isInRoster && isTrusted && observedAtMs > 0

    /** Parts that were sent here and have not left; without this index each heartbeat would scan all open jobs. */
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

    /** Orders and acknowledgements are repeated until a call succeeds; both are idempotent at the worker. */
    fun pendingOrders(): List<TaskOrder> = orders.toList()

    fun pendingAcknowledgements(): List<TaskId> = acknowledged.toList()

    fun delivered(sentOrders: List<TaskOrder>, sentAcknowledgements: List<TaskId>) {
        orders.removeAll(sentOrders.toSet())
        acknowledged.removeAll(sentAcknowledgements.toSet())
    }
}
