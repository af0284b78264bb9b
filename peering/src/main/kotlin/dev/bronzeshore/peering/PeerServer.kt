/** Server for calls from other processes. */
package dev.bronzeshore.peering

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/** Dispatches calls to [handlers], which are fixed at construction and need no synchronization. */
public class PeerServer(
    private val selector: SelectorManager,
    private val clock: ClockMs,
    private val handlers: List<CallHandler>,
    private val log: ComponentLog = ComponentLog("peering"),
) {
    private val handlersByCall = handlers.associateBy { it.call }

    /** Binds the address, serves connections in [scope] until it is cancelled, and returns the bound port. */
    public suspend fun start(host: String, port: Int, scope: CoroutineScope): Int {
        val server = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        scope.launch { acceptAll(server, scope) }
        return (server.localAddress as InetSocketAddress).port
    }

    private suspend fun acceptAll(server: ServerSocket, scope: CoroutineScope) = server.use {
        while (scope.isActive) {
            val socket = server.accept()
            scope.launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) = try {
        socket.use { readCalls(it) }
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        log.debug { "Connection failed: ${failure.message}." }
    }

    private suspend fun readCalls(socket: Socket) = coroutineScope {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val writeLock = Mutex()
        while (isActive) {
            val frame = FrameCodec.read(input).fold({ reject(it) }, { it }) ?: break
            launch { answer(frame, output, writeLock) }
        }
    }

    private fun reject(fault: Fault): Frame? {
        log.warn { "Closed a connection after a malformed frame, code ${fault.code.number}: ${fault.message}" }
        return null
    }

    private suspend fun answer(frame: Frame, output: ByteWriteChannel, writeLock: Mutex) {
        val handler = handlersByCall[frame.call]
        val reply = when {
            frame.deadlineMs < clock() -> return
            handler == null -> replyTo(frame, Fault(ResultCode.MALFORMED_FRAME, "Unknown call ${frame.call}."))
            else -> handler.answer(frame.body).fold({ replyTo(frame, it) }, { replyTo(frame, it) })
        }
        writeLock.withLock { FrameCodec.write(output, reply) }
    }

    private fun replyTo(frame: Frame, fault: Fault) =
        Frame(frame.id, frame.call, isReply = true, deadlineMs = 0, fault = fault)

    private fun replyTo(frame: Frame, body: ByteArray) =
        Frame(frame.id, frame.call, isReply = true, deadlineMs = 0, body = body)
}
