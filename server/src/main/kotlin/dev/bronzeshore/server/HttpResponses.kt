/** Reading of JSON request bodies and writing of JSON responses. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.plans.DocumentReader
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable

/** Largest JSON body; lists of a few thousand allowances stay well below it. */
internal const val MAX_JSON_BODY_BYTES: Long = 1_048_576
private const val MS_PER_SECOND = 1_000L

/** JSON form of a fault: name and number of its code, and whether the work may have run. */
@Serializable
internal data class FaultBody(
    val code: ResultCode,
    val number: Int,
    val outcome: Outcome,
    val message: String,
    val place: String? = null,
    val accepted: String? = null,
    val retryAtMs: Long? = null,
)

internal suspend fun ApplicationCall.respondFault(fault: Fault, nowMs: Long) {
    fault.retryAtMs?.let { at ->
        val seconds = maxOf(1, (at - nowMs + MS_PER_SECOND - 1) / MS_PER_SECOND)
        response.header(HttpHeaders.RetryAfter, seconds.toString())
    }
    val body = FaultBody(
        fault.code,
        fault.code.number,
        fault.code.outcome,
        fault.message,
        fault.place,
        fault.accepted,
        fault.retryAtMs,
    )
    respondJson(FaultBody.serializer(), body, HttpStatusCode.fromValue(fault.code.httpStatus))
}

internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(WireJson.encodeToString(serializer, value), ContentType.Application.Json, status)

internal suspend fun <T> ApplicationCall.respondEither(
    result: Either<Fault, T>,
    serializer: KSerializer<T>,
    nowMs: Long,
    status: HttpStatusCode = HttpStatusCode.OK,
) = result.fold({ respondFault(it, nowMs) }, { respondJson(serializer, it, status) })

/** Reads a body of up to [MAX_JSON_BODY_BYTES] and validates it with [reader]; returns the first fault. */
internal suspend fun <T> ApplicationCall.readBody(reader: DocumentReader<T>): Either<Fault, T> =
    readText().flatMap { text -> reader.read("body", text).mapLeft { it.head } }

private suspend fun ApplicationCall.readText(): Either<Fault, String> {
    val bytes = receiveChannel().readRemaining(MAX_JSON_BODY_BYTES + 1).readByteArray()
    return if (bytes.size > MAX_JSON_BODY_BYTES) {
        Fault(ResultCode.BODY_TOO_LARGE, "The body is too large.", "body", "at most $MAX_JSON_BODY_BYTES bytes").left()
    } else {
        bytes.decodeToString().right()
    }
}

/** The token of the `Authorization: Bearer` header. */
internal fun ApplicationCall.bearerToken(): Either<Fault, String> {
    val header = request.headers[HttpHeaders.Authorization].orEmpty()
    val token = header.substringAfter("Bearer ", missingDelimiterValue = "").trim()
    return if (token.isEmpty()) {
        Fault(ResultCode.UNAUTHORIZED, "The bearer token is missing.", "Authorization", "Bearer TOKEN").left()
    } else {
        token.right()
    }
}
