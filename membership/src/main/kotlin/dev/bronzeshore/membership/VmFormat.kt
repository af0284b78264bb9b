/** The format of the platform's VM list. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmRole

/** Checks descriptions of VMs before they are used for placement. */
public object VmFormat {
    /** What is wrong with [vm], or null if it can be used. */
    public fun faultOf(vm: Vm): String? = when {
        vm.id.isBlank() -> "the id is empty"
        vm.dataCentre.isBlank() -> "the data centre is empty"
        vm.address.isBlank() -> "the address is empty"
        vm.role == VmRole.WORKER -> workerFault(vm)
        else -> endpointFault(vm)
    }

    private fun workerFault(vm: Vm): String? = when {
        vm.capacity.processorsMillicores <= 0 -> "a worker needs processorsMillicores above 0"
        vm.capacity.memoryBytes <= 0 -> "a worker needs memoryBytes above 0"
        vm.capacity.accelerators < 0 -> "accelerators are negative"
        else -> null
    }

    private fun endpointFault(vm: Vm): String? = when {
        vm.service.isNullOrBlank() -> "an endpoint needs a service"
        vm.slots <= 0 -> "an endpoint needs slots above 0"
        else -> null
    }
}
