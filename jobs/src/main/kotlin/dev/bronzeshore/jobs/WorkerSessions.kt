/** All workers of one data centre, and what the placer knows of them. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TASK_LEASE_MS
import dev.bronzeshore.core.Vm

/** A worker together with whether new work may go there. */
public data class WorkerCandidate(public val vm: Vm, public val accepting: Boolean)

internal class WorkerSessions(private val context: JobsContext) {
    private val byId = LinkedHashMap<String, WorkerSession>()

    val all: Collection<WorkerSession> get() = byId.values

    fun find(workerId: String): WorkerSession? = byId[workerId]

    /** Takes the current view of workers; one that vanished is kept until its last lease has ended. */
    fun update(candidates: List<WorkerCandidate>) {
        val wanted = candidates.associateBy { it.vm.id }
        wanted.values.forEach { candidate ->
            val session = byId.getOrPut(candidate.vm.id) { WorkerSession(candidate.vm) }
            session.vm = candidate.vm
            session.isWanted = candidate.accepting
        }
        byId.values.filter { it.workerId !in wanted }.forEach { it.isWanted = false }
        dropEnded(wanted.keys)
        all.forEach(::publish)
    }

    /** Adds workers of the former owner's roster that the VM list does not show. */
    fun addFromRoster(vms: List<Vm>) = vms.forEach { vm ->
        byId.getOrPut(vm.id) { WorkerSession(vm) }.also {
            it.isInRoster = true
            publish(it)
        }
    }

    fun markInRoster(vms: List<Vm>) = vms.forEach { vm ->
        byId[vm.id]?.let {
            it.isInRoster = true
            publish(it)
        }
    }

    private fun dropEnded(wantedIds: Set<String>) {
        val now = context.clock()
        val ended = byId.values.filter { session ->
            val lastUseMs = maxOf(
                session.lastLeaseUntilMs,
                context.authority.previousEffectsUntilMs + TASK_LEASE_MS,
            )
            session.workerId !in wantedIds && now > lastUseMs + 2 * MAX_CLOCK_SKEW_MS && session.parts().isEmpty()
        }
        ended.forEach {
            byId.remove(it.workerId)
            context.placer.removeWorker(it.workerId)
        }
    }

    /**
     * Tells the placer what it may use; the smaller of the listed and the reported capacity counts.
     *
     * A worker that has not reported gets no work, but it counts when a job is checked against the whole fleet.
     */
    fun publish(session: WorkerSession) {
        val listed = session.vm.capacity
        val reported = session.reportedCapacity ?: listed
        val capacity = Resources(
            minOf(listed.processorsMillicores, reported.processorsMillicores),
            minOf(listed.memoryBytes, reported.memoryBytes),
            minOf(listed.accelerators, reported.accelerators),
        )
        context.placer.putWorker(PlacementWorker(session.workerId, session.vm.rack, capacity, session.isAccepting))
    }
}
