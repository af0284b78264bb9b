/** An HTTP/1.1 server whose connections a test can reset or leave open without answers, as network faults do. */
package dev.bronzeshore.server.soak

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.URLDecoder
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private const val BACKLOG = 512
private const val THREAD_STACK_BYTES = 262_144L

internal class SoakRequest(
    val method: String,
    target: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    val connection: SoakConnection,
) {
    val path: String = target.substringBefore('?')
    val query: Map<String, String> = target.substringAfter('?', "").split('&').filter { it.contains('=') }
        .associate { it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8) }
}

internal class SoakReply(val status: Int, val body: String = "")

/** Serves one connection on a thread of its own; once silent, it reads on but never answers again. */
internal class SoakConnection(private val socket: Socket, private val onEnd: (SoakConnection) -> Unit) {
    @Volatile
    var isSilent = false

    fun serve(handle: (SoakRequest) -> SoakReply?) {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            while (true) {
                val request = readRequest(input) ?: break
                val reply = if (isSilent) null else handle(request)
                if (reply == null) isSilent = true
                if (!isSilent && reply != null) write(reply)
            }
        } catch (_: IOException) {
            // The caller or a fault has closed the connection.
        } finally {
            socket.close()
            onEnd(this)
        }
    }

    fun reset() {
        try {
            socket.setSoLinger(true, 0)
            socket.close()
        } catch (_: IOException) {
            // The connection has ended already.
        }
    }

    private fun readRequest(input: InputStream): SoakRequest? {
        val start = readLine(input)?.split(' ') ?: return null
        val headers = generateSequence { readLine(input)?.ifEmpty { null } }
            .associate { it.substringBefore(':').trim().lowercase() to it.substringAfter(':').trim() }
        val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0)
        return SoakRequest(start[0], start[1], headers, body, this)
    }

    private fun readLine(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            val next = input.read()
            if (next < 0) return null
            if (next == '\n'.code) return line.toString().removeSuffix("\r")
            line.append(next.toChar())
        }
    }

    private fun write(reply: SoakReply) {
        val body = reply.body.encodeToByteArray()
        val head = "HTTP/1.1 ${reply.status} S\r\nContent-Type: application/json\r\nContent-Length: ${body.size}\r\n\r\n"
        socket.getOutputStream().write(head.encodeToByteArray() + body)
    }
}

/** [handle] returns null if the connection delivers nothing further. */
internal class SoakHttpServer(private val handle: (SoakRequest) -> SoakReply?) : AutoCloseable {
    private val connections = ConcurrentHashMap.newKeySet<SoakConnection>()
    private var listener: ServerSocket? = null
    private var port = 0
    val address: String get() = "127.0.0.1:$port"

    /** Listens on a free port, or again on the former one. */
    @Synchronized
    fun open() {
        val opened = ServerSocket()
        opened.reuseAddress = true
        opened.bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), BACKLOG)
        port = opened.localPort
        listener = opened
        thread(isDaemon = true, name = "accept-$port") { acceptAll(opened) }
    }

    private fun acceptAll(opened: ServerSocket) {
        while (!opened.isClosed) {
            val socket = try {
                opened.accept()
            } catch (_: IOException) {
                return
            }
            socket.tcpNoDelay = true
            val connection = SoakConnection(socket, connections::remove)
            connections += connection
            Thread(null, {
                connection.serve(handle)
            }, "serve-$port", THREAD_STACK_BYTES).apply { isDaemon = true }.start()
        }
    }

    /** Open connections stay open without answers; new ones are served. */
    fun silenceConnections() = connections.forEach { it.isSilent = true }

    /** Accepts no further connections; open ones stay. */
    @Synchronized
    fun closeListener() {
        listener?.close()
        listener = null
    }

    /** Stops listening and resets all connections. */
    override fun close() {
        closeListener()
        connections.forEach { it.reset() }
    }
}
