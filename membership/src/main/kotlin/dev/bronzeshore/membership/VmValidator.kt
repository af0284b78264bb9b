/** Validation of entries of the platform's VM list. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmRole

/** Checks descriptions of VMs before they are used for placement. */
public object VmValidator {
    /** Returns an error message if [vm] cannot be used, otherwise null. */
    public fun validate(vm: Vm): String? = when {
        vm.id.isBlank() -> "the id is empty"
        vm.dataCentre.isBlank() -> "the data centre is empty"
        vm.address.isBlank() -> "the address is empty"
        vm.role == VmRole.WORKER -> validateWorker(vm)
        else -> validateEndpoint(vm)
    }

    private fun validateWorker(vm: Vm): String? = when {
        vm.capacity.processorsMillicores <= 0 -> "a worker needs processorsMillicores above 0"
        vm.capacity.memoryBytes <= 0 -> "a worker needs memoryBytes above 0"
        vm.capacity.accelerators < 0 -> "accelerators are negative"
        else -> null
    }

    private fun validateEndpoint(vm: Vm): String? = when {
        vm.service.isNullOrBlank() -> "an endpoint needs a service"
        vm.slots <= 0 -> "an endpoint needs slots above 0"
        else -> null
    }
}
