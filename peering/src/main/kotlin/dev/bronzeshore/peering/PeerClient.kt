/** Calls other processes; one connection for each peer address, opened on demand. */
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

/** Thread-safe; a broken connection fails its calls in flight and is opened again by the next call. */
public class PeerClient(
    private val selector: SelectorManager,
    private val clock: ClockMs,
    private val scope: CoroutineScope,
) {
    private val links = ConcurrentHashMap<String, PeerConnection>()

    /**
     * Calls the process at [address] and waits for its reply until [deadlineMs].
     *
     * A fault with code `PEER_UNAVAILABLE` means that the call may or may not have been carried out.
     */
    public suspend fun <Q, A> call(
        address: String,
        type: CallType<Q, A>,
        request: Q,
        deadlineMs: Long,
    ): Either<Fault, A> = try {
        val body = WireCbor.encodeToByteArray(type.request, request)
        val link = linkTo(address)
        val frame = withTimeoutOrNull(deadlineMs - clock()) { link.call(type.name, body, deadlineMs) }
        if (frame == null) link.disconnect()
        frame?.toReply(type) ?: unavailable(address, "no reply before the deadline").left()
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        unavailable(address, failure.message).left()
    }

    /** Ends the connection to [address] after a call without a reply; it may have fallen silent for good. */
    public fun disconnect(address: String) {
        links[address]?.disconnect()
    }

    private fun linkTo(address: String): PeerConnection = links.compute(address) { _, old ->
        old?.takeUnless { it.isClosed } ?: PeerConnection(selector, address, scope)
    }!!

    private fun <Q, A> Frame.toReply(type: CallType<Q, A>): Either<Fault, A> = fault?.left() ?: Either
        .catch { WireCbor.decodeFromByteArray(type.reply, body) }
        .mapLeft { Fault(ResultCode.MALFORMED_FRAME, "Malformed reply to ${type.name}: ${it.message}") }
        .flatMap { Either.Right(it) }

    private fun unavailable(address: String, reason: String?) =
        Fault(ResultCode.PEER_UNAVAILABLE, "The process at $address did not answer: $reason.")
}
