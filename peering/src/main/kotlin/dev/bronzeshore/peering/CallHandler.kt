/** Typed calls and the functions that handle them. */
@file:OptIn(ExperimentalSerializationApi::class)

package dev.bronzeshore.peering

import arrow.core.Either
import arrow.core.flatMap
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WireCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer

/** Name and message types of a call; client and server use the same value. */
public class CallType<Q, A>(
    public val name: String,
    internal val request: KSerializer<Q>,
    internal val reply: KSerializer<A>,
)

/** Handles calls of one type: decodes the request and encodes the reply. */
public class CallHandler internal constructor(
    internal val call: String,
    internal val answer: suspend (ByteArray) -> Either<Fault, ByteArray>,
)

/** Creates a handler that replies to a call of [type] with the result of [handle]. */
public fun <Q, A> handlerOf(type: CallType<Q, A>, handle: suspend (Q) -> Either<Fault, A>): CallHandler =
    CallHandler(type.name) { body ->
        Either.catch { WireCbor.decodeFromByteArray(type.request, body) }
            .mapLeft { Fault(ResultCode.MALFORMED_FRAME, "Malformed ${type.name}: ${it.message}") }
            .flatMap { handle(it) }
            .map { WireCbor.encodeToByteArray(type.reply, it) }
    }
