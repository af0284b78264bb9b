/** Client for one bronzeshore process, with the calls of callers and operators. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.ProcessStatus
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.server.Settings
import dev.bronzeshore.standins.REQUEST_HEADER
import java.util.concurrent.CompletableFuture

internal class EntryProcess(val settings: Settings, val child: ChildProcess, private val http: ClusterHttp) {
    val id: String get() = settings.processId
    private val callerUrl = "http://127.0.0.1:${settings.callers.port}"
    private val operatorUrl = "http://127.0.0.1:${settings.operators.port}"

    fun isResponding(): Boolean = http.send(HttpCall("GET", "$operatorUrl/healthz")).status == HTTP_OK

    fun isReady(): Boolean = readyStatus() == HTTP_OK

    fun readyStatus(): Int = http.send(HttpCall("GET", "$callerUrl/readyz")).status

    fun status(): ProcessStatus? {
        val reply = http.send(HttpCall("GET", "$operatorUrl/v1/status", token = OPERATOR_TOKEN))
        if (reply.status != HTTP_OK) return null
        return WireJson.decodeFromString(ProcessStatus.serializer(), reply.text)
    }

    /** Term in which this process owns [dataCentre], or null if it does not own it. */
    fun termOf(dataCentre: String): Long? =
        if (child.isAlive) status()?.owned?.find { it.dataCentre == dataCentre }?.term else null

    fun apply(request: ApplyRequest): HttpReply {
        val body = WireJson.encodeToString(ApplyRequest.serializer(), request).toByteArray()
        return http.send(HttpCall("POST", "$operatorUrl/v1/configuration", body, OPERATOR_TOKEN))
    }

    fun mark(vmId: String, mark: VmMark): HttpReply {
        val body = WireJson.encodeToString(MarkRequest.serializer(), MarkRequest(mark, "test")).toByteArray()
        return http.send(HttpCall("POST", "$operatorUrl/v1/vms/$vmId/mark", body, OPERATOR_TOKEN))
    }

    fun request(requestId: String): HttpReply = requestAsync(requestId).get()

    /** Sends a non-idempotent request whose body, and expected response body, is [requestId]. */
    fun requestAsync(requestId: String): CompletableFuture<HttpReply> {
        val headers = mapOf(REQUEST_HEADER to requestId)
        val url = "$callerUrl/v1/services/booking/slots"
        return http.sendAsync(HttpCall("POST", url, requestId.toByteArray(), CALLER_TOKEN, headers))
    }

    /** Sends any call to the port for callers. */
    fun call(method: String, path: String, body: ByteArray, token: String?, headers: Map<String, String>): HttpReply =
        http.send(HttpCall(method, "$callerUrl$path", body, token, headers))

    fun submit(key: String, submission: JobSubmission): HttpReply {
        val body = WireJson.encodeToString(JobSubmission.serializer(), submission).toByteArray()
        val headers = mapOf("Idempotency-Key" to key)
        return http.send(HttpCall("POST", "$callerUrl/v1/jobs", body, CALLER_TOKEN, headers))
    }

    fun job(jobId: String): JobView? {
        val reply = http.send(HttpCall("GET", "$callerUrl/v1/jobs/$jobId", token = CALLER_TOKEN))
        return if (reply.status == HTTP_OK) WireJson.decodeFromString(JobView.serializer(), reply.text) else null
    }
}
