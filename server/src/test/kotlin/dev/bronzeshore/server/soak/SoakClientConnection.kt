/** A keep-alive connection of a client, for one call at a time. */
package dev.bronzeshore.server.soak

import java.io.BufferedInputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

private const val TIMEOUT_MS = 3_000
private const val CONNECT_TIMEOUT_MS = 1_000

internal class SoakClientConnection(port: Int) : AutoCloseable {
    private val socket = Socket().apply {
        connect(InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MS)
        soTimeout = TIMEOUT_MS
        tcpNoDelay = true
    }
    private val input = BufferedInputStream(socket.getInputStream())

    fun call(method: String, path: String, body: String?): Pair<Int, String> {
        val bytes = body.orEmpty().encodeToByteArray()
        val head = "$method $path HTTP/1.1\r\nHost: $SOAK_HOST\r\nContent-Type: application/json\r\n" +
            "Content-Length: ${bytes.size}\r\n\r\n"
        socket.getOutputStream().write(head.encodeToByteArray() + bytes)
        val status = nextLine().split(' ')[1].toInt()
        val headers = generateSequence { nextLine().ifEmpty { null } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        return status to input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
    }

    private fun nextLine(): String = readLine(input) ?: throw IOException("the connection was closed")

    override fun close() = socket.close()
}
