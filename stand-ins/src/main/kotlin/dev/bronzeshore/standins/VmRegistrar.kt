/** Registers VMs with the VM list of another process. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.WireJson
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.http.isSuccess
import kotlinx.serialization.encodeToString

internal class VmRegistrar {
    /** Adds [vms] to the list at [address] (`host:port`); throws if the list refuses them. */
    suspend fun register(address: String, vms: List<Vm>) {
        HttpClient(CIO).use { client ->
            val response = client.put("http://$address$VMS_CONTROL_PATH") { setBody(WireJson.encodeToString(vms)) }
            check(response.status.isSuccess()) { "The VM list at $address responded with status ${response.status}." }
        }
    }
}
