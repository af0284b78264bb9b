/** An endpoint as known to the owner of its data centre. */
package dev.bronzeshore.requests

/** An endpoint of [service] that handles up to [slots] requests at a time; gets no new requests while [leaving]. */
public data class EndpointSlots(
    public val id: String,
    public val address: String,
    public val service: String,
    public val slots: Int,
    public val leaving: Boolean = false,
)

/** Slots are granted and counted per endpoint and plan. */
internal data class SlotKey(val endpointId: String, val plan: String)
