/** An endpoint as the owner of its data centre knows it. */
package dev.bronzeshore.requests

/** An endpoint of [service] that answers up to [slots] requests at a time; gets no new requests while [leaving]. */
public data class EndpointSlots(
    public val id: String,
    public val address: String,
    public val service: String,
    public val slots: Int,
    public val leaving: Boolean = false,
)

/** The unit in which slots are granted and counted. */
internal data class SlotKey(val endpointId: String, val plan: String)
