/** HTTP requests as a function type, so that tests can replace them with a fake. */
package dev.bronzeshore.ctl

/** A request to the operator port; [body] is JSON. */
public data class HttpRequest(
    public val method: String,
    public val url: String,
    public val headers: Map<String, String> = emptyMap(),
    public val body: String? = null,
)

/** Outcome of an HTTP request. */
public sealed interface HttpResult {
    /** The server sent a complete response. */
    public data class Answer(public val status: Int, public val body: String) : HttpResult

    /** No connection could be opened, so the request was not sent. */
    public data class NotSent(public val reason: String) : HttpResult

    /** The request may have been sent, but no complete response arrived. */
    public data class NoAnswer(public val reason: String) : HttpResult
}

/** Sends a request; network failures are returned as a [HttpResult] and never thrown. */
public typealias HttpCall = suspend (request: HttpRequest) -> HttpResult
