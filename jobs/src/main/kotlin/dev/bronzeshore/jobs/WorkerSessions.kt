/** The sessions of all workers of one data centre; forwards their state to the placer. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TASK_LEASE_MS
import dev.bronzeshore.core.Vm

/** A listed worker and whether it may get new work. */
public data class WorkerCandidate(public val vm: Vm, public val accepting: Boolean)

internal class WorkerSessions(private val context: JobsContext) {
    private val byId = LinkedHashMap<String, WorkerSession>()

    val all: Collection<WorkerSession> get() = byId.values

    fun find(workerId: String): WorkerSession? = byId[workerId]

    /** Replaces the list of workers; a worker that is no longer listed is kept until its last task lease has ended. */
    fun update(candidates: List<WorkerCandidate>) {
        val candidatesById = candidates.associateBy { it.vm.id }
        candidatesById.values.forEach { candidate ->
            val session = byId.getOrPut(candidate.vm.id) { WorkerSession(candidate.vm) }
            session.vm = candidate.vm
            session.isSchedulable = candidate.accepting
        }
        byId.values.filter { it.workerId !in candidatesById }.forEach { it.isSchedulable = false }
        removeUnused(candidatesById.keys)
        all.forEach(::publish)
    }

    /** Adds the workers of the previous owner's roster, which may not all be in the platform's VM list. */
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

    private fun removeUnused(candidateIds: Set<String>) {
        val now = context.clock()
        val unused = byId.values.filter { session ->
            val lastEffectMs = maxOf(
                session.lastLeaseUntilMs,
                context.authority.previousEffectsUntilMs + TASK_LEASE_MS,
            )
            session.workerId !in candidateIds && now > lastEffectMs + 2 * MAX_CLOCK_SKEW_MS && session.parts().isEmpty()
        }
        unused.forEach {
            byId.remove(it.workerId)
            context.placer.removeWorker(it.workerId)
        }
    }

    /**
     * Updates the worker in the placer with the smaller of the listed and the reported capacity.
     *
     * A worker that has not reported gets no work, but it counts when a job is checked against the capacity of all
     * workers.
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
