/** HTTP/1.1 server on the loopback interface with responses and failures scripted by the test. */
package dev.bronzeshore.requests

import java.io.BufferedInputStream
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request as received by the server; the body has yet to be read from [input]. */
internal class TestExchange(
    val requestLine: String,
    val headers: List<HeaderLine>,
    private val input: InputStream,
    val output: OutputStream,
) {
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Reads the body and returns its length, or null if it is truncated. */
    fun readBody(take: (ByteArray, Int) -> Unit = { _, _ -> }): Long? {
        if (header("Transfer-Encoding") != "chunked") return readBytes(header("Content-Length")?.toLong() ?: 0, take)
        var total = 0L
        while (true) {
            val size = input.readLine()?.toLongOrNull(16) ?: return null
            total += readBytes(size, take) ?: return null
            input.readLine() ?: return null
            if (size == 0L) return total
        }
    }

    fun respond(body: String, status: String = "200 OK") {
        output.write("HTTP/1.1 $status\r\nContent-Length: ${body.length}\r\n\r\n$body".toByteArray())
    }

    private fun readBytes(length: Long, take: (ByteArray, Int) -> Unit): Long? {
        val buffer = ByteArray(65_536)
        var remaining = length
        while (remaining > 0) {
            val count = input.read(buffer, 0, minOf(remaining, buffer.size.toLong()).toInt())
            if (count < 0) return null
            take(buffer, count)
            remaining -= count
        }
        return length
    }
}

internal fun InputStream.readLine(): String? {
    val line = StringBuilder()
    while (true) {
        val byte = read()
        if (byte < 0) return null
        if (byte == '\n'.code) return line.toString().trimEnd('\r')
        line.append(byte.toChar())
    }
}

/** Serves one exchange per connection with [serve], then closes the connection. */
internal class TestEndpoint(private val serve: (TestExchange) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 512, InetAddress.getLoopbackAddress())
    private val sockets = CopyOnWriteArrayList<Socket>()
    val requestLines = CopyOnWriteArrayList<String>()
    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = listener.accept()
                    sockets += socket
                    thread(isDaemon = true) { runCatching { socket.use { handle(it) } } }
                }
            }
        }
    }

    private fun handle(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream(), 65_536)
        val requestLine = input.readLine() ?: return
        val lines = generateSequence { input.readLine()?.takeIf { it.isNotEmpty() } }
        val headers = lines.map { HeaderLine(it.substringBefore(':'), it.substringAfter(':').trim()) }.toList()
        requestLines += requestLine
        serve(TestExchange(requestLine, headers, input, socket.getOutputStream()))
        socket.getOutputStream().flush()
        socket.shutdownOutput()
        // Waits until the client closes the connection: closing with unread input would reset it.
        while (input.read() >= 0) Unit
    }

    override fun close() {
        listener.close()
        sockets.forEach { runCatching { it.close() } }
    }
}

/** An address on which no server listens. */
internal fun closedAddress(): String = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
    "127.0.0.1:${it.localPort}"
}
