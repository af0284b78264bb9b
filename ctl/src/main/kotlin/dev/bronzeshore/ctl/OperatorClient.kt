/** Client of the operator API of a bronzeshore process. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobExplanation
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.ProcessStatus
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.VmStatus
import dev.bronzeshore.core.WireJson
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer
import java.net.URLEncoder

/** Calls the operator API of the server at [baseUrl]. */
internal class OperatorClient(private val baseUrl: String, private val token: String, private val http: HttpCall) {
    suspend fun configuration(): Either<CtlFailure, Configuration> =
        get("/v1/configuration", Configuration.serializer())

    suspend fun apply(request: ApplyRequest): Either<CtlFailure, ApplyAnswer> {
        val body = WireJson.encodeToString(ApplyRequest.serializer(), request)
        // A dry run changes nothing, so its outcome is known even if the response is lost.
        return send("POST", "/v1/configuration", body, ApplyAnswer.serializer(), isMutating = !request.dryRun)
    }

    suspend fun mark(vmId: String, request: MarkRequest): Either<CtlFailure, ApplyAnswer> {
        val body = WireJson.encodeToString(MarkRequest.serializer(), request)
        return send("POST", "/v1/vms/${percentEncode(vmId)}/mark", body, ApplyAnswer.serializer())
    }

    suspend fun vms(): Either<CtlFailure, List<VmStatus>> = get("/v1/vms", ListSerializer(VmStatus.serializer()))

    suspend fun audit(after: String, limit: Int): Either<CtlFailure, List<AuditEntry>> =
        get("/v1/audit?after=${percentEncode(after)}&limit=$limit", ListSerializer(AuditEntry.serializer()))

    suspend fun status(): Either<CtlFailure, ProcessStatus> = get("/v1/status", ProcessStatus.serializer())

    suspend fun submit(plan: String, key: String, submission: JobSubmission): Either<CtlFailure, JobView> {
        val body = WireJson.encodeToString(JobSubmission.serializer(), submission)
        val headers = mapOf("Idempotency-Key" to key)
        return send("POST", "/v1/jobs?plan=${percentEncode(plan)}", body, JobView.serializer(), headers)
    }

    suspend fun jobs(plan: String?, limit: Int): Either<CtlFailure, List<JobView>> {
        val planParameter = plan?.let { "plan=${percentEncode(it)}&" }.orEmpty()
        return get("/v1/jobs?${planParameter}limit=$limit", ListSerializer(JobView.serializer()))
    }

    suspend fun job(jobId: String): Either<CtlFailure, JobView> =
        get("/v1/jobs/${percentEncode(jobId)}", JobView.serializer())

    suspend fun cancel(jobId: String): Either<CtlFailure, JobView> =
        send("DELETE", "/v1/jobs/${percentEncode(jobId)}", body = null, JobView.serializer())

    suspend fun why(jobId: String): Either<CtlFailure, JobExplanation> =
        get("/v1/jobs/${percentEncode(jobId)}/why", JobExplanation.serializer())

    private suspend fun <T> get(path: String, serializer: KSerializer<T>): Either<CtlFailure, T> =
        send("GET", path, body = null, serializer, isMutating = false)

    private suspend fun <T> send(
        method: String,
        path: String,
        body: String?,
        serializer: KSerializer<T>,
        headers: Map<String, String> = emptyMap(),
        isMutating: Boolean = true,
    ): Either<CtlFailure, T> {
        val request = HttpRequest(method, baseUrl + path, headers + ("Authorization" to "Bearer $token"), body)
        return when (val result = http(request)) {
            is HttpResult.NotSent -> unreachable(result.reason).left()
            is HttpResult.NoAnswer -> noValidResponse("No answer came: ${result.reason}", isMutating).left()
            is HttpResult.Answer -> decode(result, serializer, isMutating)
        }
    }

    private fun <T> decode(
        response: HttpResult.Answer,
        serializer: KSerializer<T>,
        isMutating: Boolean,
    ): Either<CtlFailure, T> = try {
        if (response.status in SUCCESS_STATUSES) {
            WireJson.decodeFromString(serializer, response.body).right()
        } else {
            refusal(WireJson.decodeFromString(Fault.serializer(), response.body), isMutating).left()
        }
    } catch (e: IllegalArgumentException) {
        val start = response.body.take(MAX_SHOWN_CHARACTERS)
        val message = "The answer with status ${response.status} is not from the operator port of bronzeshore: $start"
        noValidResponse(message, isMutating && response.status !in CLIENT_ERROR_STATUSES).left()
    }

    private fun refusal(fault: Fault, isMutating: Boolean): CtlFailure {
        val mayHaveTakenEffect = isMutating && fault.code.outcome == Outcome.UNKNOWN
        return CtlFailure(if (mayHaveTakenEffect) ExitCode.UNKNOWN else ExitCode.REFUSED, listOf(fault))
    }

    private fun unreachable(reason: String): CtlFailure = CtlFailure(
        ExitCode.UNREACHABLE,
        listOf(Fault(ResultCode.PEER_UNAVAILABLE, "Cannot connect: $reason", baseUrl, "a reachable operator port")),
    )

    private fun noValidResponse(message: String, isMutating: Boolean): CtlFailure = if (isMutating) {
        CtlFailure(
            ExitCode.UNKNOWN,
            listOf(Fault(ResultCode.OUTCOME_UNKNOWN, message, baseUrl, "a repeat of the same command")),
        )
    } else {
        unreachable(message)
    }

    private fun percentEncode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")

    private companion object {
        val SUCCESS_STATUSES = 200..299
        val CLIENT_ERROR_STATUSES = 400..499
        const val MAX_SHOWN_CHARACTERS = 200
    }
}
