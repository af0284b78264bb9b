/** HTTP routes for requests to services: bodies are streamed to an endpoint and responses are streamed back. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.requests.HeaderLine
import dev.bronzeshore.requests.IncomingRequest
import dev.bronzeshore.requests.ResponseHead
import dev.bronzeshore.requests.RouteReport
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.http.headers
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.route
import io.ktor.utils.io.ByteWriteChannel

internal const val KIND_HEADER = "Bronzeshore-Kind"
internal const val START_BEFORE_HEADER = "Bronzeshore-Start-Before-Ms"
internal const val IDEMPOTENT_HEADER = "Bronzeshore-Idempotent"
internal const val ENDPOINT_HEADER = "Bronzeshore-Endpoint"
internal const val WAIT_HEADER = "Bronzeshore-Wait-Ms"
private const val SERVICES_PREFIX = "/v1/services/"

/** Headers that only bronzeshore reads; the token among them must not reach an endpoint. */
private val NOT_FORWARDED_HEADERS =
    setOf(KIND_HEADER, START_BEFORE_HEADER, IDEMPOTENT_HEADER, HttpHeaders.Authorization)
        .mapTo(HashSet()) { it.lowercase() }

internal fun Route.requestRoutes(process: CallerContext) {
    route("$SERVICES_PREFIX{service}/{...}") {
        handle { process.handleRequest(call) }
    }
}

private suspend fun CallerContext.handleRequest(call: ApplicationCall) {
    var hasResponded = false
    val outcome = either {
        val plan = planOf(call).bind()
        val request = incomingRequest(call, plan).bind()
        requests.route(request) { head, writeBody ->
            hasResponded = true
            call.respond(StreamedResponse(head, writeBody))
        }.bind()
    }
    recordOutcome(outcome, call)
    outcome.onLeft { fault ->
        // After the response has begun the connection is closed instead, so that the caller sees that it is incomplete.
        if (hasResponded) throw IncompleteResponseException(fault.message) else call.respondFault(fault, clock())
    }
}

private fun CallerContext.recordOutcome(outcome: Either<Fault, RouteReport>, call: ApplicationCall) {
    countResponse(outcome)
    outcome.onRight { metrics.observeWait(call.request.headers[KIND_HEADER].orEmpty(), it.waitedMs) }
}

/** Closes the connection of a response that was cut off. */
internal class IncompleteResponseException(message: String) : Exception(message)

private suspend fun incomingRequest(call: ApplicationCall, plan: Plan): Either<Fault, IncomingRequest> = either {
    val service = call.parameters["service"].orEmpty()
    val kind = selectKind(call, plan, service).bind()
    IncomingRequest(
        plan = plan.name,
        kind = kind,
        service = service,
        method = call.request.httpMethod.value,
        pathAndQuery = "/" + call.request.uri.removePrefix(SERVICES_PREFIX).substringAfter('/', ""),
        headers = call.request.headers.entries().filter { it.key.lowercase() !in NOT_FORWARDED_HEADERS }
            .flatMap { (name, values) -> values.map { HeaderLine(name, it) } },
        body = call.receiveChannel(),
        contentLength = parseContentLength(call),
        idempotent = parseIdempotent(call).bind(),
        startBeforeMs = parseStartBeforeMs(call).bind(),
    )
}

private fun selectKind(call: ApplicationCall, plan: Plan, service: String): Either<Fault, String> {
    val offered = plan.kinds.filter { it.service == service }.map { it.name }
    val name = call.request.headers[KIND_HEADER] ?: offered.singleOrNull()
    return when {
        offered.isEmpty() -> Fault(
            ResultCode.UNKNOWN_SERVICE,
            "Plan ${plan.name} has no kind for $service.",
            "path",
        ).left()

        name == null -> Fault(
            ResultCode.MISSING_FIELD,
            "The kind is missing.",
            KIND_HEADER,
            offered.joinToString(),
        ).left()

        name !in offered ->
            Fault(
                ResultCode.UNKNOWN_KIND,
                "Kind $name is not one of service $service.",
                KIND_HEADER,
                offered.joinToString(),
            ).left()

        else -> name.right()
    }
}

/** Null for a chunked body; a request without either header has no body. */
private fun parseContentLength(call: ApplicationCall): Long? {
    val isChunked = call.request.headers[HttpHeaders.TransferEncoding] != null
    return if (isChunked) null else call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
}

private fun parseIdempotent(call: ApplicationCall): Either<Fault, Boolean> {
    val text = call.request.headers[IDEMPOTENT_HEADER] ?: return false.right()
    return text.toBooleanStrictOrNull()?.right()
        ?: Fault(ResultCode.INVALID_VALUE, "\"$text\" is not a boolean.", IDEMPOTENT_HEADER, "true or false").left()
}

private fun parseStartBeforeMs(call: ApplicationCall): Either<Fault, Long?> {
    val text = call.request.headers[START_BEFORE_HEADER] ?: return null.right()
    return text.toLongOrNull()?.takeIf { it > 0 }?.right()
        ?: Fault(
            ResultCode.INVALID_DEADLINE,
            "\"$text\" is not a time.",
            START_BEFORE_HEADER,
            "milliseconds since 1970",
        ).left()
}

private class StreamedResponse(
    private val head: ResponseHead,
    private val writeBody: suspend (ByteWriteChannel) -> Unit,
) : OutgoingContent.WriteChannelContent() {
    override val status: HttpStatusCode = HttpStatusCode.fromValue(head.status)
    override val contentLength: Long? = head.contentLength
    override val contentType: ContentType? = null
    override val headers: Headers = headers {
        head.headers.forEach { append(it.name, it.value) }
        head.endpointId?.let { append(ENDPOINT_HEADER, it) }
        append(WAIT_HEADER, head.waitedMs.toString())
    }

    override suspend fun writeTo(channel: ByteWriteChannel) = writeBody(channel)
}
