/** Streaming of requests to endpoints and of their responses to callers. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.openWithin
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import java.io.IOException

/**
 * Opens a separate connection to the endpoint for each exchange. Thread-safe.
 *
 * Uses Ktor's sockets and parser but not its CIO client: that client treats a chunked response that is truncated
 * between two chunks as complete, and may complete a chunked request body whose source failed. Bodies are copied
 * through a small buffer. Cancelling the caller's coroutine closes the connection to the endpoint.
 */
public class RequestProxy(
    ioDispatcher: CoroutineDispatcher,
    private val clock: ClockMs,
    private val connectTimeoutMs: Long = 1_000,
) : AutoCloseable {
    private val selector = SelectorManager(ioDispatcher)

    override fun close(): Unit = selector.close()

    /** Sends the request unless [sendByMs] has passed when the connection is established. */
    internal suspend fun attempt(
        address: String,
        request: IncomingRequest,
        body: ReplayableBody,
        sendByMs: Long,
        responder: Responder,
    ): AttemptEnd {
        val socket =
            try {
                connect(address)
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                return AttemptEnd.NotSent(failure.toString())
            }
        // Connecting takes time, and the process may have been paused.
        if (clock() > sendByMs) {
            socket.close()
            return AttemptEnd.NotSent("the deadline passed before the request was sent", isReachable = true)
        }
        return Exchange(EndpointConnection(socket), address, request, body, responder).run()
    }

    private suspend fun connect(address: String): Socket {
        val target = InetSocketAddress(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt())
        return openWithin(connectTimeoutMs) { aSocket(selector).tcp().connect(target) { noDelay = true } }
    }

    private inner class Exchange(
        private val connection: EndpointConnection,
        private val address: String,
        private val request: IncomingRequest,
        private val body: ReplayableBody,
        private val responder: Responder,
    ) {
        private var hasResponseStarted = false
        private var firstByteAtMs = 0L

        @Volatile private var callerFailure: CallerGoneException? = null

        suspend fun run(): AttemptEnd = try {
            connection.use {
                connection.sendHead(address, request)
                coroutineScope {
                    val sending = launch { send() }
                    val status = receive()
                    // An endpoint may respond without reading the whole body.
                    sending.cancel()
                    AttemptEnd.Answered(status, firstByteAtMs)
                }
            }
        } catch (failure: Exception) {
            currentCoroutineContext().ensureActive()
            toAttemptEnd(failure)
        }

        private fun toAttemptEnd(failure: Exception): AttemptEnd {
            val caller = callerFailure ?: failure as? CallerGoneException
            return when {
                caller != null -> AttemptEnd.CallerGone(caller.message.orEmpty())
                hasResponseStarted -> AttemptEnd.AnswerBroken(failure.toString())
                else -> AttemptEnd.Unanswered(failure.toString())
            }
        }

        private suspend fun send() {
            try {
                connection.sendBody(request, body)
            } catch (failure: CallerGoneException) {
                callerFailure = failure
                connection.close()
            } catch (failure: IOException) {
                // The endpoint may have responded before it closed the connection; if not, receiving fails as well.
                currentCoroutineContext().ensureActive()
            }
        }

        private suspend fun receive(): Int {
            val head = connection.receiveHead(request.method)
            firstByteAtMs = clock()
            hasResponseStarted = true
            var endpointFailure: IOException? = null
            try {
                responder(head.toResponseHead()) { sink ->
                    try {
                        streamBody(connection.reader(head), sink)
                    } catch (failure: EndpointFailure) {
                        endpointFailure = failure
                        throw failure
                    }
                }
            } catch (failure: Exception) {
                currentCoroutineContext().ensureActive()
                throw endpointFailure ?: CallerGoneException(failure)
            }
            return head.status
        }

        private suspend fun streamBody(reader: BodyReader, sink: ByteWriteChannel) {
            val buffer = ByteArray(COPY_BUFFER_BYTES)
            while (true) {
                val count = readResponseBody(reader, buffer)
                if (count < 0) break
                sink.writeFully(buffer, 0, count)
                if (reader.mightSuspend) sink.flush()
            }
            sink.flush()
        }

        private suspend fun readResponseBody(reader: BodyReader, buffer: ByteArray): Int = try {
            reader.read(buffer)
        } catch (failure: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw EndpointFailure(failure)
        } catch (failure: Exception) {
            throw EndpointFailure(failure)
        }
    }

    /** The connection to the endpoint failed while its response was forwarded. */
    private class EndpointFailure(cause: Exception) : IOException(cause.toString(), cause)
}
