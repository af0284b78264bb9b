/** How one attempt to have a request answered by an endpoint ended. */
package dev.bronzeshore.requests

internal sealed interface AttemptEnd {
    /** The whole answer was passed on. */
    data class Answered(val status: Int, val firstByteAtMs: Long) : AttemptEnd

    /** No byte was sent: the request has not run and may go to another endpoint. */
    data class NotSent(val reason: String, val isReachable: Boolean = false) : AttemptEnd

    /** The connection broke after the request was sent, at least in part, and before the answer began. */
    data class Unanswered(val reason: String) : AttemptEnd

    /** The answer broke off after it had begun; the caller has a part of it. */
    data class AnswerBroken(val reason: String) : AttemptEnd

    /** The caller went away or broke off its body; the endpoint may have run the request. */
    data class CallerGone(val reason: String) : AttemptEnd
}
