/** Requests that wait for a slot. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Fault

/** Result of a request's wait for a slot. */
internal sealed interface AdmissionDecision {
    /** The request may be sent to the endpoint of [lease]. */
    data class Start(val lease: SlotLease) : AdmissionDecision

    /** The request is not sent. */
    data class Refused(val fault: Fault) : AdmissionDecision
}

/**
 * A request in an [AdmissionQueue].
 *
 * [onDecision] is called once, unless the request is cancelled before. It is called by the queue and must not call the
 * queue itself.
 */
internal class QueuedRequest(
    val plan: String,
    val kind: String,
    val service: String,
    /** Latest time at which the request may start. */
    val startBeforeMs: Long,
    val onDecision: (AdmissionDecision) -> Unit,
) {
    /** Orders requests with the same deadline. */
    var sequence: Long = 0
    var queue: KindQueue? = null
    var state: QueuedState = QueuedState.NEW
}

internal enum class QueuedState { NEW, WAITING, STARTED, ENDED }
