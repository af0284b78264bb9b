/** Client for calls to other processes, with one connection per peer address that is opened on demand. */
@file:OptIn(ExperimentalSerializationApi::class)

package dev.bronzeshore.peering

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WireCbor
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import java.util.concurrent.ConcurrentHashMap

/** Thread-safe; a broken connection fails its in-flight calls, and the next call opens a new one. */
public class PeerClient(
    private val selector: SelectorManager,
    private val clock: ClockMs,
    private val scope: CoroutineScope,
) {
    private val connections = ConcurrentHashMap<String, PeerConnection>()

    /**
     * Calls the process at [address] and waits for its reply until [deadlineMs].
     *
     * A fault with code `PEER_UNAVAILABLE` means that the outcome is unknown: the call may have been executed.
     */
    public suspend fun <Q, A> call(
        address: String,
        type: CallType<Q, A>,
        request: Q,
        deadlineMs: Long,
    ): Either<Fault, A> = try {
        val body = WireCbor.encodeToByteArray(type.request, request)
        val connection = connectionTo(address)
        val frame = withTimeoutOrNull(deadlineMs - clock()) { connection.call(type.name, body, deadlineMs) }
        if (frame == null) connection.disconnect()
        frame?.toReply(type) ?: unavailable(address, "no reply before the deadline").left()
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        unavailable(address, failure.message).left()
    }

    /** Closes the connection to [address] after a call without a reply, because it may be dead without a reset. */
    public fun disconnect(address: String) {
        connections[address]?.disconnect()
    }

    private fun connectionTo(address: String): PeerConnection = connections.compute(address) { _, old ->
        old?.takeUnless { it.isClosed } ?: PeerConnection(selector, address, scope)
    }!!

    private fun <Q, A> Frame.toReply(type: CallType<Q, A>): Either<Fault, A> = fault?.left() ?: Either
        .catch { WireCbor.decodeFromByteArray(type.reply, body) }
        .mapLeft { Fault(ResultCode.MALFORMED_FRAME, "Malformed reply to ${type.name}: ${it.message}") }
        .flatMap { Either.Right(it) }

    private fun unavailable(address: String, reason: String?) =
        Fault(ResultCode.PEER_UNAVAILABLE, "The process at $address did not answer: $reason.")
}
