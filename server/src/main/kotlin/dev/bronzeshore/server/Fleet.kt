/** The VMs that the platform lists, merged with marks and quarantine. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.VmRole
import dev.bronzeshore.core.VmState
import dev.bronzeshore.core.VmStatus
import dev.bronzeshore.membership.MemberVm
import dev.bronzeshore.membership.EffectiveVmState
import dev.bronzeshore.membership.Quarantine
import dev.bronzeshore.membership.VmView
import dev.bronzeshore.platform.VmListApi

/** Used on the control thread only. */
internal class Fleet(private val clock: ClockMs, private val readList: VmListApi) {
    private val log = ComponentLog("membership")
    private val view = VmView(clock)
    private val quarantines = HashMap<String, Quarantine>()
    private val dataCentreOf = HashMap<String, String>()
    private var marks: List<MarkedVm> = emptyList()

    /** Reads the list; while it cannot be read the last one counts. */
    suspend fun refresh() {
        readList().fold({ log.debug { "The VM list could not be read: ${it.message}" } }, view::setList)
        val workers = view.members().map { it.vm }.filter { it.role == VmRole.WORKER }
        workers.forEach { dataCentreOf[it.id] = it.dataCentre }
        workers.groupBy { it.dataCentre }.forEach { (dataCentre, members) ->
            val quarantine = quarantines.getOrPut(dataCentre) { Quarantine(clock) }
            quarantine.setWorkers(members.mapTo(HashSet()) { it.id })
            quarantine.quarantinePending()
        }
    }

    fun setMarks(current: List<MarkedVm>) {
        marks = current
        view.setMarks(current)
    }

    /** VMs that may still run something; those that take no new work are `LEAVING`. */
    fun vms(): List<Vm> = view.members().filter { it.effectiveState != EffectiveVmState.GONE }.map { it.vm }

    fun endpointIds(): Set<String> = view.members().filter {
        it.vm.role == VmRole.ENDPOINT
    }.mapTo(HashSet()) { it.vm.id }

    fun leavingEndpoints(): Set<String> = view.members()
        .filter { it.vm.role == VmRole.ENDPOINT && it.vm.state == VmState.LEAVING }.mapTo(HashSet()) { it.vm.id }

    /** True if the operators state that this process no longer runs. */
    fun isGone(processId: String): Boolean = marks.any { it.vmId == processId && it.mark == VmMark.GONE }

    fun isQuarantined(workerId: String): Boolean = quarantineOf(workerId)?.accepts(workerId) == false

    fun partStarted(workerId: String, jobId: String) = quarantineOf(workerId)?.recordStart(workerId, jobId)

    fun partFailed(workerId: String, jobId: String) = quarantineOf(workerId)?.recordFailure(workerId, jobId)

    fun partSucceeded(workerId: String, jobId: String) = quarantineOf(workerId)?.recordSuccess(workerId, jobId)

    fun quarantinedCount(): Int = quarantines.values.sumOf { it.quarantined().size }

    fun status(): List<VmStatus> = view.members().map { member -> statusOf(member) }

    private fun statusOf(member: MemberVm): VmStatus {
        val id = member.vm.id
        val quarantined = quarantineOf(id)?.quarantined()?.find { it.workerId == id }
        return VmStatus(member.vm, member.mark, quarantined?.untilMs, member.accepting && !isQuarantined(id))
    }

    private fun quarantineOf(workerId: String): Quarantine? = dataCentreOf[workerId]?.let { quarantines[it] }
}
