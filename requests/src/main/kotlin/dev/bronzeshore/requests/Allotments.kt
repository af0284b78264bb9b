/** Messages by which processes request endpoint slots from the owner of a data centre. */
package dev.bronzeshore.requests

import kotlinx.serialization.Serializable

/** Demand of a process for slots of one plan at one service; [wanted] includes the slots [inUse]. */
@Serializable
public data class SlotDemand(
    public val service: String,
    public val plan: String,
    public val wanted: Int,
    public val inUse: Int,
)

/** Number of one plan's requests in flight at one endpoint, including those started under an earlier grant. */
@Serializable
public data class SlotsInUse(public val endpointId: String, public val plan: String, public val slots: Int)

/**
 * Requests slots from the owner of [dataCentre].
 *
 * A process lists every service and plan that it serves, with [SlotDemand.wanted] 0 when idle, and so keeps a minimum
 * share. [sequence] increases with each request of a process, so that the owner can detect a delayed request.
 * [appliedGrantId] is the last grant that the process applied: the owner no longer counts earlier grants.
 */
@Serializable
public data class AllotmentRequest(
    public val dataCentre: String,
    public val processId: String,
    public val demand: List<SlotDemand>,
    public val inUse: List<SlotsInUse> = emptyList(),
    public val sequence: Long = 0,
    public val appliedGrantId: Long = 0,
)

/** Slots of one endpoint in which a process may start requests of one plan before [untilMs]. */
@Serializable
public data class SlotAllotment(
    public val endpointId: String,
    public val address: String,
    public val service: String,
    public val plan: String,
    public val slots: Int,
    public val untilMs: Long,
)

/** Response to [AllotmentRequest]: all slots of a data centre that a process may use; replaces all earlier grants. */
@Serializable
public data class Allotments(public val list: List<SlotAllotment>, public val grantId: Long = 0)
