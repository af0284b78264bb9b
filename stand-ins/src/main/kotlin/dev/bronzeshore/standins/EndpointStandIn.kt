/** Endpoint that streams each request body back while it arrives. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.ClockMs
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.contentType
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.discard
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.delay

/** Response header with the id of the endpoint. */
public const val ENDPOINT_HEADER: String = "Stand-In-Endpoint"

/** Header with the id of a request; the response repeats it. */
public const val REQUEST_HEADER: String = "Stand-In-Request"

/** Header of the response to a request that did not run because no slot was free. */
public const val NOT_RUN_HEADER: String = "Stand-In-Not-Run"

private const val BUFFER_BYTES = 64 * 1024

internal class EndpointStandIn(private val plan: EndpointPlan, clock: ClockMs) : StandIn {
    override val id: String = plan.id
    override val faultInjector = FaultInjector()
    override val calls = CallCounter()
    private val log = RequestLog(plan, clock)

    override suspend fun handleCall(call: ApplicationCall, path: String): Answer {
        val requestId = call.request.header(REQUEST_HEADER)
        val index = log.begin(requestId, call.request.httpMethod.value, path)
        call.response.header(ENDPOINT_HEADER, id)
        requestId?.let { call.response.header(REQUEST_HEADER, it) }
        if (index == null) {
            call.response.header(NOT_RUN_HEADER, "true")
            call.respondText("no free slot\n", status = HttpStatusCode.ServiceUnavailable)
            return Answer.Sent
        }
        try {
            delay(plan.serviceMs)
            return run(call, index)
        } finally {
            log.end(index, RequestEnding.BROKEN, bodyBytes = 0)
        }
    }

    override fun records(): ServerRecords = log.records(calls.counts())

    private suspend fun run(call: ApplicationCall, index: Int): Answer {
        val body = call.receiveChannel()
        if (faultInjector.shouldDropResponse()) {
            log.end(index, RequestEnding.ANSWER_DROPPED, body.discard())
            return Answer.ConnectionClosed
        }
        if (faultInjector.faults.failRequests) {
            log.end(index, RequestEnding.FAILED, body.discard())
            call.respondText("the endpoint failed\n", status = HttpStatusCode.InternalServerError)
            return Answer.Sent
        }
        if (call.request.httpMethod == HttpMethod.Head) {
            // There is no body to echo, and Ktor's writer would send the final chunk of a chunked body.
            log.end(index, RequestEnding.ANSWERED, bodyBytes = 0)
            call.respond(HttpStatusCode.OK)
            return Answer.Sent
        }
        val lengthBytes = call.request.contentLength()
        call.respondBytesWriter(contentTypeOf(call), HttpStatusCode.OK, lengthBytes) {
            echo(body, this, lengthBytes) { log.end(index, RequestEnding.ANSWERED, it) }
        }
        return Answer.Sent
    }

    private fun contentTypeOf(call: ApplicationCall): ContentType =
        call.request.contentType().takeIf { it != ContentType.Any } ?: ContentType.Application.OctetStream

    /**
     * Copies [body] to [output] and calls [onEnd] before the last bytes are written.
     *
     * A client that has the complete response may send its next request immediately and must find the slot free.
     */
    private suspend fun echo(
        body: ByteReadChannel,
        output: ByteWriteChannel,
        lengthBytes: Long?,
        onEnd: (bodyBytes: Long) -> Unit,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        var copiedBytes = 0L
        while (true) {
            val readBytes = body.readAvailable(buffer)
            if (readBytes < 0) break
            copiedBytes += readBytes
            if (copiedBytes == lengthBytes) onEnd(copiedBytes)
            output.writeFully(buffer, 0, readBytes)
            output.flush()
        }
        onEnd(copiedBytes)
    }
}
