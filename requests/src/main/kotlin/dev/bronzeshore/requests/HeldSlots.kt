/** Slots of one endpoint that this process holds for one plan. */
package dev.bronzeshore.requests

/** An allotment together with the requests in flight; kept while either is left. */
internal class HeldSlots(val key: SlotKey, val dataCentre: String, val address: String, val servicePlan: ServicePlanSlots) {
    /** Like [inUse], changed by the lane only, which keeps the sums. */
    var slots: Int = 0
    var untilMs: Long = Long.MIN_VALUE
    var inUse: Int = 0
    val unused: Int get() = maxOf(0, slots - inUse)

    /** Position in the lane's list of candidates, or -1. */
    var candidateIndex: Int = -1

    fun hasFreeSlot(nowMs: Long): Boolean = inUse < slots && nowMs < untilMs
}

/** A slot in use by one request, until it is given back to the pool. */
internal class SlotLease(val held: HeldSlots) {
    /** The request must be sent before; a later renewal of the grant does not move it. */
    val sendBeforeMs: Long = held.untilMs
    var released: Boolean = false

    val endpointId: String get() = held.key.endpointId
    val address: String get() = held.address
}
