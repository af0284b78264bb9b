/** The operator API of a bronzeshore process. */
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

/** Typed calls to the server at [base]. */
internal class OperatorClient(private val base: String, private val token: String, private val http: HttpCall) {
    suspend fun configuration(): Either<CtlFailure, Configuration> =
        get("/v1/configuration", Configuration.serializer())

    suspend fun apply(request: ApplyRequest): Either<CtlFailure, ApplyAnswer> {
        val body = WireJson.encodeToString(ApplyRequest.serializer(), request)
        // A dry run changes nothing, so a lost answer leaves nothing open.
        return send("POST", "/v1/configuration", body, ApplyAnswer.serializer(), changes = !request.dryRun)
    }

    suspend fun mark(vmId: String, request: MarkRequest): Either<CtlFailure, ApplyAnswer> {
        val body = WireJson.encodeToString(MarkRequest.serializer(), request)
        return send("POST", "/v1/vms/${encode(vmId)}/mark", body, ApplyAnswer.serializer())
    }

    suspend fun vms(): Either<CtlFailure, List<VmStatus>> = get("/v1/vms", ListSerializer(VmStatus.serializer()))

    suspend fun audit(after: String, limit: Int): Either<CtlFailure, List<AuditEntry>> =
        get("/v1/audit?after=${encode(after)}&limit=$limit", ListSerializer(AuditEntry.serializer()))

    suspend fun status(): Either<CtlFailure, ProcessStatus> = get("/v1/status", ProcessStatus.serializer())

    suspend fun submit(plan: String, key: String, submission: JobSubmission): Either<CtlFailure, JobView> {
        val body = WireJson.encodeToString(JobSubmission.serializer(), submission)
        val headers = mapOf("Idempotency-Key" to key)
        return send("POST", "/v1/jobs?plan=${encode(plan)}", body, JobView.serializer(), headers)
    }

    suspend fun jobs(plan: String?, limit: Int): Either<CtlFailure, List<JobView>> {
        val planPart = plan?.let { "plan=${encode(it)}&" }.orEmpty()
        return get("/v1/jobs?${planPart}limit=$limit", ListSerializer(JobView.serializer()))
    }

    suspend fun job(jobId: String): Either<CtlFailure, JobView> = get("/v1/jobs/${encode(jobId)}", JobView.serializer())

    suspend fun cancel(jobId: String): Either<CtlFailure, JobView> =
        send("DELETE", "/v1/jobs/${encode(jobId)}", body = null, JobView.serializer())

    suspend fun why(jobId: String): Either<CtlFailure, JobExplanation> =
        get("/v1/jobs/${encode(jobId)}/why", JobExplanation.serializer())

    private suspend fun <T> get(path: String, answer: KSerializer<T>): Either<CtlFailure, T> =
        send("GET", path, body = null, answer, changes = false)

    private suspend fun <T> send(
        method: String,
        path: String,
        body: String?,
        answer: KSerializer<T>,
        headers: Map<String, String> = emptyMap(),
        changes: Boolean = true,
    ): Either<CtlFailure, T> {
        val request = HttpRequest(method, base + path, headers + ("Authorization" to "Bearer $token"), body)
        return when (val result = http(request)) {
            is HttpResult.NotSent -> unreachable(result.reason).left()
            is HttpResult.NoAnswer -> broken("No answer came: ${result.reason}", changes).left()
            is HttpResult.Answer -> decode(result, answer, changes)
        }
    }

    private fun <T> decode(
        answer: HttpResult.Answer,
        serializer: KSerializer<T>,
        changes: Boolean,
    ): Either<CtlFailure, T> = try {
        if (answer.status in SUCCESSES) {
            WireJson.decodeFromString(serializer, answer.body).right()
        } else {
            refusal(WireJson.decodeFromString(Fault.serializer(), answer.body), changes).left()
        }
    } catch (e: IllegalArgumentException) {
        val start = answer.body.take(SHOWN_CHARACTERS)
        val message = "The answer with status ${answer.status} is not from the operator port of bronzeshore: $start"
        broken(message, changes && answer.status !in REFUSALS).left()
    }

    private fun refusal(fault: Fault, changes: Boolean): CtlFailure {
        val mayHaveRun = changes && fault.code.outcome == Outcome.UNKNOWN
        return CtlFailure(if (mayHaveRun) ExitCode.UNKNOWN else ExitCode.REFUSED, listOf(fault))
    }

    private fun unreachable(reason: String): CtlFailure = CtlFailure(
        ExitCode.UNREACHABLE,
        listOf(Fault(ResultCode.PEER_UNAVAILABLE, "Cannot connect: $reason", base, "a reachable operator port")),
    )

    private fun broken(message: String, changes: Boolean): CtlFailure = if (changes) {
        CtlFailure(
            ExitCode.UNKNOWN,
            listOf(Fault(ResultCode.OUTCOME_UNKNOWN, message, base, "a repeat of the same command")),
        )
    } else {
        unreachable(message)
    }

    private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")

    private companion object {
        val SUCCESSES = 200..299
        val REFUSALS = 400..499
        const val SHOWN_CHARACTERS = 200
    }
}
