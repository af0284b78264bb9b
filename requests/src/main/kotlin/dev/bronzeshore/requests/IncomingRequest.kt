/** A caller's request as it is passed to the router. */
package dev.bronzeshore.requests

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel

/** One header line; a name may occur several times. */
public data class HeaderLine(public val name: String, public val value: String)

/**
 * A request of [plan] for [service] whose body has not been read yet.
 *
 * [pathAndQuery] is sent to the endpoint unchanged. [contentLength] is null for a chunked body and 0 if there is none.
 */
public class IncomingRequest(
    public val plan: String,
    public val kind: String,
    public val service: String,
    public val method: String,
    public val pathAndQuery: String,
    public val headers: List<HeaderLine>,
    public val body: ByteReadChannel,
    public val contentLength: Long?,
    public val idempotent: Boolean,
    /** Latest time at which the request may start; null stands for [RouterLimits.maxWaitMs] after its arrival. */
    public val startBeforeMs: Long? = null,
)

/**
 * Status and headers of an endpoint's response; [contentLength] is null if the length is not known in advance.
 *
 * The router sets [endpointId] and [waitedMs], the time that the request waited in queues.
 */
public class ResponseHead(
    public val status: Int,
    public val headers: List<HeaderLine>,
    public val contentLength: Long?,
    public val endpointId: String? = null,
    public val waitedMs: Long = 0,
) {
    internal fun withRoute(endpointId: String, waitedMs: Long) =
        ResponseHead(status, headers, contentLength, endpointId, waitedMs)
}

/**
 * Sends a response to the caller.
 *
 * Called at most once per request; must call `writeBody` exactly once, also for an empty body. If `writeBody` throws,
 * the connection to the caller must be closed without completing the response.
 */
public typealias Responder = suspend (head: ResponseHead, writeBody: suspend (ByteWriteChannel) -> Unit) -> Unit
