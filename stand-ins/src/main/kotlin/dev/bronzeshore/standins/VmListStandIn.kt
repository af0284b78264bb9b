/** HTTP server of the VM list, with control calls that add, change and remove VMs. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.WireJson
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText

internal const val VMS_CONTROL_PATH = "/stand-in/vms"

internal class VmListStandIn(override val id: String, clock: ClockMs) : StandIn {
    override val faultInjector = FaultInjector()
    override val calls = CallCounter()
    private val history = VmHistory(clock)

    /** Adds VMs, or replaces those with the same id. */
    fun put(vms: List<Vm>) = history.put(vms)

    override suspend fun handleCall(call: ApplicationCall, path: String): Answer =
        if (path == "/vms") Answer.json(history.view(faultInjector.faults.vmListLagMs)) else Answer.notFound

    /** `PUT /stand-in/vms` with a list of VMs adds or replaces them, `DELETE /stand-in/vms/ID` removes one. */
    override suspend fun handleControlCall(call: ApplicationCall, path: String): Answer = when {
        call.request.httpMethod == HttpMethod.Put && path == VMS_CONTROL_PATH -> {
            put(WireJson.decodeFromString<List<Vm>>(call.receiveText()))
            Answer.empty
        }

        call.request.httpMethod == HttpMethod.Delete && path.startsWith("$VMS_CONTROL_PATH/") -> {
            history.remove(path.removePrefix("$VMS_CONTROL_PATH/"))
            Answer.empty
        }

        else -> Answer.notFound
    }

    override fun records(): ServerRecords = ServerRecords(id, ServerRole.VM_LIST, calls.counts())
}
