/** A caller's request as the router gets it. */
package dev.bronzeshore.requests

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel

/** One header line; a name may occur several times. */
public data class HeaderLine(public val name: String, public val value: String)

/**
 * A request of [plan] for [service] whose body has not been read yet.
 *
 * [pathAndQuery] is sent to the endpoint unchanged. [contentLength] is null for a chunked body and 0 for none.
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
    /** Latest start; null means that the router's longest waiting time applies. */
    public val startBeforeMs: Long? = null,
)

/**
 * Status and headers of an endpoint's answer; [contentLength] is null if the length is not known beforehand.
 *
 * The router fills in [endpointId] and [waitedMs], the time from arrival to start.
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
 * Sends an answer to the caller.
 *
 * It is called at most once per request and has to call `writeBody` exactly once, also for an empty body. If
 * `writeBody` throws, the connection to the caller must be closed without completing the answer.
 */
public typealias Responder = suspend (head: ResponseHead, writeBody: suspend (ByteWriteChannel) -> Unit) -> Unit
