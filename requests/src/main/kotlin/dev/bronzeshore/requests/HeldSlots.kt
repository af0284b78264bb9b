/** Slots of one endpoint that this process holds for one plan. */
package dev.bronzeshore.requests

/** The granted slots together with the requests in flight; removed when there are neither. */
internal class HeldSlots(
    val key: SlotKey,
    val dataCentre: String,
    val address: String,
    val planSlots: ServicePlanSlots,
) {
    /** Changed only by [ServicePlanSlots], which maintains the totals; likewise [inUse]. */
    var slots: Int = 0
    var untilMs: Long = Long.MIN_VALUE
    var inUse: Int = 0
    val unused: Int get() = maxOf(0, slots - inUse)

    /** Index in [ServicePlanSlots.candidates], or -1. */
    var candidateIndex: Int = -1

    fun hasFreeSlot(nowMs: Long): Boolean = inUse < slots && nowMs < untilMs
}

/** A slot in use by one request until it is released to the [SlotPool]. */
internal class SlotLease(val held: HeldSlots) {
    /** Deadline for sending the request; not extended when the grant is renewed. */
    val sendBeforeMs: Long = held.untilMs
    var released: Boolean = false

    val endpointId: String get() = held.key.endpointId
    val address: String get() = held.address
}
