/** Groups VMs and allowances into one view for each data centre. */
package dev.bronzeshore.server

import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmRole
import dev.bronzeshore.core.VmState
import dev.bronzeshore.jobs.WorkerCandidate

/** [vms] already include the operators' marks; [isQuarantined] excludes workers that fail the parts they start. */
internal fun viewsByDataCentre(
    vms: List<Vm>,
    configuration: Configuration,
    isQuarantined: (workerId: String) -> Boolean,
): Map<String, DataCentreView> = vms.groupBy { it.dataCentre }.mapValues { (dataCentre, members) ->
    val (workers, endpoints) = members.partition { it.role == VmRole.WORKER }
    DataCentreView(
        workers = workers.map { WorkerCandidate(it, it.state == VmState.LIVE && !isQuarantined(it.id)) },
        endpoints = endpoints,
        leavingEndpoints = endpoints.filter { it.state == VmState.LEAVING }.mapTo(HashSet()) { it.id },
        allowances = configuration.allowances.filter { it.dataCentre == dataCentre },
    )
}
