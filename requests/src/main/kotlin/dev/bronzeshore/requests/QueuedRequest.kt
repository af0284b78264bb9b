/** A request that waits for a slot. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Fault

/** What became of a request that waited. */
public sealed interface AdmissionDecision {
    /** The request may be sent to the endpoint of [lease] now. */
    public data class Start(public val lease: SlotLease) : AdmissionDecision

    /** The request is not sent. */
    public data class Refused(public val fault: Fault) : AdmissionDecision
}

/**
 * A request in an [AdmissionQueue].
 *
 * [onDecision] is called once, unless the request is cancelled before. It runs within a call of the queue and must not
 * call the queue itself.
 */
public class QueuedRequest(
    public val plan: String,
    public val kind: String,
    public val service: String,
    /** Latest start. */
    public val startBeforeMs: Long,
    internal val onDecision: (AdmissionDecision) -> Unit,
) {
    /** Position among requests with the same deadline. */
    internal var order: Long = 0
    internal var queue: KindQueue? = null
    internal var state: QueuedState = QueuedState.NEW
}

internal enum class QueuedState { NEW, WAITING, STARTED, ENDED }
