/** Messages between processes about the ownership of data centres. */
package dev.bronzeshore.ownership

import kotlinx.serialization.Serializable

/**
 * Asks the process [deputyId] for a deputy lease: not to take over [dataCentre] before [untilMs].
 *
 * The id is part of the request because a restarted process, which does not know its earlier leases, may reuse the
 * address.
 */
@Serializable
public data class DeputyLeaseRequest(
    public val dataCentre: String,
    public val term: Long,
    public val deputyId: String,
    public val untilMs: Long,
)

/** Response of the process [processId]; if [granted], it does not take over before [untilMs]. */
@Serializable
public data class DeputyLeaseResponse(
    public val dataCentre: String,
    public val term: Long,
    public val processId: String,
    public val granted: Boolean,
    public val untilMs: Long,
)

/** Tells [nextOwnerId] that the row now names it as owner, so that it reads the row at once. */
@Serializable
public data class OwnershipHandover(
    public val dataCentre: String,
    public val term: Long,
    public val nextOwnerId: String,
)
