/** How one attempt to have a request answered by an endpoint ended. */
package dev.bronzeshore.requests

public sealed interface AttemptEnd {
    /** The whole answer was passed on. */
    public data class Answered(public val status: Int, public val firstByteAtMs: Long) : AttemptEnd

    /** No byte was sent: the request has not run and may go to another endpoint. */
    public data class NotSent(public val reason: String, public val isReachable: Boolean = false) : AttemptEnd

    /** The connection broke after the request was sent, at least in part, and before the answer began. */
    public data class Unanswered(public val reason: String) : AttemptEnd

    /** The answer broke off after it had begun; the caller has a part of it. */
    public data class AnswerBroken(public val reason: String) : AttemptEnd

    /** The caller went away or broke off its body; the endpoint may have run the request. */
    public data class CallerGone(public val reason: String) : AttemptEnd
}
