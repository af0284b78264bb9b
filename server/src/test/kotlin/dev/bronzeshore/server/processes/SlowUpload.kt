/** An upload that sends the second half of its body only on [finish]. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.standins.REQUEST_HEADER
import java.net.Socket

internal class SlowUpload(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MS }
    val body = ByteArray(BODY_BYTES) { it.toByte() }

    fun sendFirstHalf() {
        val head = listOf(
            "POST /v1/services/booking/slots HTTP/1.1",
            "Host: localhost",
            "Authorization: Bearer $CALLER_TOKEN",
            "$REQUEST_HEADER: slow-upload",
            "Content-Length: $BODY_BYTES",
            "Connection: close",
            "",
            "",
        ).joinToString("\r\n")
        socket.getOutputStream().write(head.toByteArray() + body.copyOf(BODY_BYTES / 2))
        socket.getOutputStream().flush()
    }

    /** Sends the rest of the body and returns the body of the response. */
    fun finish(): ByteArray {
        socket.getOutputStream().write(body, BODY_BYTES / 2, BODY_BYTES / 2)
        socket.getOutputStream().flush()
        val response = socket.getInputStream().readAllBytes()
        val headEnd = String(response, Charsets.ISO_8859_1).indexOf("\r\n\r\n")
        return response.copyOfRange(headEnd + HEAD_END_BYTES, response.size)
    }

    override fun close() = socket.close()

    private companion object {
        const val BODY_BYTES = 60_000
        const val READ_TIMEOUT_MS = 30_000
        const val HEAD_END_BYTES = 4
    }
}
