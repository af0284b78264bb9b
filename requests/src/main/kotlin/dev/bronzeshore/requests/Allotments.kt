/** Messages between the processes and a data centre's owner about endpoint slots. */
package dev.bronzeshore.requests

import kotlinx.serialization.Serializable

/** Slots that a process wants for one plan at one service; [wanted] includes the [inUse] ones. */
@Serializable
public data class SlotDemand(
    public val service: String,
    public val plan: String,
    public val wanted: Int,
    public val inUse: Int,
)

/** Requests of one plan in flight at one endpoint, also those started under an earlier grant. */
@Serializable
public data class SlotsInUse(public val endpointId: String, public val plan: String, public val slots: Int)

/**
 * Asks the owner of [dataCentre] for slots.
 *
 * A process lists every service and plan that it serves, with [SlotDemand.wanted] 0 when idle, and so keeps a standing
 * share. [sequence] grows with each request of a process, so that a delayed request is recognized. [appliedGrantId] is
 * the last grant that the process put in force: the owner counts earlier grants no longer.
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

/** Slots of one endpoint that a process may fill with requests of one plan before [untilMs]. */
@Serializable
public data class SlotAllotment(
    public val endpointId: String,
    public val address: String,
    public val service: String,
    public val plan: String,
    public val slots: Int,
    public val untilMs: Long,
)

/** All slots of one data centre that a process may use from now on; replaces every earlier grant. */
@Serializable
public data class Allotments(public val list: List<SlotAllotment>, public val grantId: Long = 0)
