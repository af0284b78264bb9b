/** HTTP client on one keep-alive connection that writes further requests while it reads responses (pipelining). */
package dev.bronzeshore.server.processes

import dev.bronzeshore.standins.REQUEST_HEADER
import java.io.BufferedInputStream
import java.io.BufferedOutputStream
import java.io.EOFException
import java.net.Socket
import java.util.concurrent.CompletableFuture

/** A request whose response must have the same body. */
internal class RawRequest(val requestId: String, seed: Long, val lengthBytes: Long, val isChunked: Boolean) {
    val pattern = BodyPattern(seed)

    fun head(): ByteArray {
        val framing = if (isChunked) "Transfer-Encoding: chunked" else "Content-Length: $lengthBytes"
        return listOf(
            "POST /v1/services/booking/slots HTTP/1.1",
            "Host: localhost",
            "Authorization: Bearer $CALLER_TOKEN",
            "$REQUEST_HEADER: $requestId",
            framing,
            "",
            "",
        ).joinToString("\r\n").toByteArray()
    }

    override fun toString() = "$requestId ($lengthBytes B, ${if (isChunked) "chunked" else "with length"})"
}

internal class RawHttpClient(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MS }
    private val input = BufferedInputStream(socket.getInputStream(), BUFFER_BYTES)
    private val output = BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES)

    /** Sends all [requests] without waiting for responses and returns a description of each faulty response. */
    fun pipeline(requests: List<RawRequest>): List<String> {
        val writing = CompletableFuture<Unit>()
        val writer = Thread {
            runCatching { requests.forEach(::write) }
                .fold({ writing.complete(Unit) }, { writing.completeExceptionally(it) })
        }
        writer.start()
        val faults = requests.mapNotNull { request ->
            runCatching { findFault(request) }.getOrElse { "incomplete: $it" }?.let { "$request: $it" }
        }
        if (faults.isNotEmpty()) socket.close()
        writer.join()
        return if (faults.isEmpty() && writing.isCompletedExceptionally) listOf("sending requests failed") else faults
    }

    private fun write(request: RawRequest) {
        output.write(request.head())
        request.pattern.write(output, request.lengthBytes, request.isChunked)
    }

    private fun findFault(request: RawRequest): String? {
        val status = readLine()
        val headers = generateSequence { readLine().ifEmpty { null } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = ResponseBody(request.pattern.expected())
        if (headers["transfer-encoding"] == "chunked") readChunks(body) else body.read(headers["content-length"])
        return when {
            !status.startsWith("HTTP/1.1 200") -> status
            headers[REQUEST_HEADER.lowercase()] != request.requestId -> "the response is for another request"
            body.lengthBytes != request.lengthBytes -> "the response has ${body.lengthBytes} B"
            !body.isCorrect -> "the response has other content"
            else -> null
        }
    }

    private fun readChunks(body: ResponseBody) {
        while (true) {
            val size = readLine().substringBefore(';').toLong(HEX)
            body.read(size)
            readLine()
            if (size == 0L) return
        }
    }

    private fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) throw EOFException("The connection was closed.")
            if (next == '\n'.code) return line.toString().removeSuffix("\r")
            line.append(next.toChar())
        }
    }

    override fun close() = socket.close()

    private inner class ResponseBody(private val expected: BodyPattern.Expected) {
        private val buffer = ByteArray(BUFFER_BYTES)
        var lengthBytes = 0L
        var isCorrect = true

        fun read(contentLength: String?) =
            read(checkNotNull(contentLength) { "No Content-Length in the response." }.toLong())

        fun read(countBytes: Long) {
            var leftBytes = countBytes
            while (leftBytes > 0) {
                val readBytes = input.read(buffer, 0, minOf(leftBytes, BUFFER_BYTES.toLong()).toInt())
                if (readBytes < 0) throw EOFException("The connection was closed before the response was complete.")
                isCorrect = isCorrect && expected.accepts(buffer, readBytes)
                lengthBytes += readBytes
                leftBytes -= readBytes
            }
        }
    }

    private companion object {
        const val READ_TIMEOUT_MS = 40_000
        const val BUFFER_BYTES = 65_536
        const val HEX = 16
    }
}
