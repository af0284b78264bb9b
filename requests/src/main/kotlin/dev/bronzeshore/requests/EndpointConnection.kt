/** A connection to an endpoint, used for one HTTP exchange. */
package dev.bronzeshore.requests

import io.ktor.http.cio.HttpHeadersMap
import io.ktor.http.cio.parseResponse
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.writeFully
import java.io.EOFException
import java.io.IOException

/** Status, headers and body framing of an endpoint's response. */
internal class ReceivedHead(val status: Int, val headers: List<HeaderLine>, val framing: Framing) {
    private val length = headers.firstOrNull { it.name.equals("Content-Length", ignoreCase = true) }?.value

    /** The head to forward; `Content-Length` is a separate field, also in the response to a HEAD request. */
    fun toResponseHead(): ResponseHead {
        val knownLength = if (framing == Framing.Chunked) null else length?.trim()?.toLongOrNull()
        return ResponseHead(status, headers.endToEnd(), knownLength)
    }
}

internal class EndpointConnection(private val socket: Socket) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Sends the request line and the headers. */
    suspend fun sendHead(address: String, request: IncomingRequest) {
        val head = StringBuilder("${request.method} ${request.pathAndQuery} HTTP/1.1\r\n")
        head.append("Host: $address\r\n")
        for (line in request.headers.endToEnd()) head.append("${line.name}: ${line.value}\r\n")
        when (request.contentLength) {
            null -> head.append("Transfer-Encoding: chunked\r\n")
            0L -> if (request.method in METHODS_WITH_BODY) head.append("Content-Length: 0\r\n")
            else -> head.append("Content-Length: ${request.contentLength}\r\n")
        }
        head.append("Connection: close\r\n\r\n")
        output.writeFully(head.toString().toByteArray(Charsets.ISO_8859_1))
        output.flush()
    }

    suspend fun sendBody(request: IncomingRequest, body: ReplayableBody) {
        body.writeTo(BodyWriter(output, chunked = request.contentLength == null))
    }

    /** Receives the head of the final response; interim (1xx) responses are skipped. */
    suspend fun receiveHead(method: String): ReceivedHead {
        while (true) {
            val response = parseResponse(input) ?: throw EOFException("the connection ended before the answer")
            response.use {
                val names = it.headers
                val lines = names.offsets().map { offset -> names.lineAt(offset) }.toList()
                if (it.status == SWITCHING_PROTOCOLS) throw IOException("the endpoint switched protocols")
                if (it.status >= OK) return ReceivedHead(it.status, lines, framingOf(method, it.status, lines))
            }
        }
    }

    fun reader(head: ReceivedHead): BodyReader = BodyReader(input, head.framing)

    /** Closes both directions; data that was not flushed is discarded. */
    override fun close() {
        output.cancel(IOException("the exchange has ended"))
        input.cancel()
        socket.close()
    }

    private fun HttpHeadersMap.lineAt(offset: Int): HeaderLine =
        HeaderLine(nameAtOffset(offset).toString(), valueAtOffset(offset).toString())

    private fun framingOf(method: String, status: Int, headers: List<HeaderLine>): Framing {
        val coding = headers.lastOrNull { it.name.equals("Transfer-Encoding", ignoreCase = true) }?.value
        val lengths = headers.filter { it.name.equals("Content-Length", ignoreCase = true) }.map { it.value.trim() }
        return when {
            method == "HEAD" || status == NO_CONTENT || status == NOT_MODIFIED -> Framing.None
            coding != null && coding.trim().equals("chunked", ignoreCase = true) -> Framing.Chunked
            coding != null -> throw IOException("the transfer coding '$coding' is not supported")
            lengths.isEmpty() -> Framing.UntilClose
            else -> Framing.Length(lengthOf(lengths))
        }
    }

    private fun lengthOf(values: List<String>): Long {
        val length = values.distinct().singleOrNull()?.toLongOrNull()
        if (length == null || length < 0) throw IOException("the content length $values is malformed")
        return length
    }

    private companion object {
        const val SWITCHING_PROTOCOLS = 101
        const val OK = 200
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        /** Methods for which `Content-Length: 0` is sent if there is no body, see RFC 9110 section 8.6. */
        val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
    }
}
