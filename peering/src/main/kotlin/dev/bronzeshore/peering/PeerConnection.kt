/** A connection to a peer with its in-flight calls. */
package dev.bronzeshore.peering

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal class PeerConnection(
    private val selector: SelectorManager,
    private val address: String,
    private val scope: CoroutineScope,
) {
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<Frame>>()
    private val nextId = AtomicLong(1)
    private val writeLock = Mutex()
    private var output: ByteWriteChannel? = null

    @Volatile
    private var socket: Socket? = null

    @Volatile
    var isClosed: Boolean = false
        private set

    suspend fun call(name: String, body: ByteArray, deadlineMs: Long): Frame {
        val id = nextId.getAndIncrement()
        val reply = CompletableDeferred<Frame>()
        pending[id] = reply
        try {
            send(Frame(id, name, isReply = false, deadlineMs = deadlineMs, body = body))
            if (isClosed) throw closedException()
            return reply.await()
        } finally {
            pending.remove(id)
        }
    }

    /** Closes the connection after a call without a reply: a connection can be dead without having been reset. */
    fun disconnect(): Unit = close(IOException("a call on this connection got no reply in time"))

    private suspend fun send(frame: Frame) = writeLock.withLock {
        if (isClosed) throw closedException()
        try {
            FrameCodec.write(output ?: connect().also { output = it }, frame)
        } catch (failure: Exception) {
            // A cancelled write may leave a partial frame on the connection, so it is never used again.
            close(failure)
            throw failure
        }
    }

    private suspend fun connect(): ByteWriteChannel {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        val socket = aSocket(selector).tcp().connect(host, port) { noDelay = true }
        this.socket = socket
        // Closing takes no lock, and finds no socket before this point.
        if (isClosed) {
            socket.close()
            throw closedException()
        }
        val input = socket.openReadChannel()
        scope.launch { readReplies(socket, input) }
        return socket.openWriteChannel()
    }

    private suspend fun readReplies(socket: Socket, input: ByteReadChannel) {
        try {
            while (true) {
                val frame = FrameCodec.read(input).getOrNull() ?: break
                pending.remove(frame.id)?.complete(frame)
            }
        } catch (failure: Exception) {
            close(failure)
            throw failure as? CancellationException ?: return
        } finally {
            close(IOException("the connection ended"))
            socket.close()
        }
    }

    private fun closedException() = IOException("the connection was closed")

    private fun close(cause: Exception) {
        isClosed = true
        socket?.close()
        pending.values.forEach { it.completeExceptionally(IOException(cause.message ?: "connection closed", cause)) }
    }
}
