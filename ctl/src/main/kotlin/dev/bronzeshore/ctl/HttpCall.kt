/** The HTTP call as a function type, so that tests put a small fake in its place. */
package dev.bronzeshore.ctl

/** One call to the operator port; [body] is JSON. */
public data class HttpRequest(
    public val method: String,
    public val url: String,
    public val headers: Map<String, String> = emptyMap(),
    public val body: String? = null,
)

/** How a call ended. */
public sealed interface HttpResult {
    /** The server answered. */
    public data class Answer(public val status: Int, public val body: String) : HttpResult

    /** No connection could be opened: the request was not sent. */
    public data class NotSent(public val reason: String) : HttpResult

    /** The request may have been sent, and no complete answer came. */
    public data class NoAnswer(public val reason: String) : HttpResult
}

/** Makes a call and never throws for what the network does. */
public typealias HttpCall = suspend (request: HttpRequest) -> HttpResult
