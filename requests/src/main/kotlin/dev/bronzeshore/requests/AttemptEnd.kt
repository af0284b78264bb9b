/** Result of one attempt to send a request to an endpoint and forward its response. */
package dev.bronzeshore.requests

internal sealed interface AttemptEnd {
    /** The complete response was forwarded to the caller. */
    data class Answered(val status: Int, val firstByteAtMs: Long) : AttemptEnd

    /** No byte was sent: the request has not run and may be sent to another endpoint. */
    data class NotSent(val reason: String, val isReachable: Boolean = false) : AttemptEnd

    /** The connection failed after at least a part of the request was sent and before the response started. */
    data class Unanswered(val reason: String) : AttemptEnd

    /** The response was truncated: the caller has received a part of it. */
    data class AnswerBroken(val reason: String) : AttemptEnd

    /** The caller disconnected or sent an incomplete body; the endpoint may have run the request. */
    data class CallerGone(val reason: String) : AttemptEnd
}
