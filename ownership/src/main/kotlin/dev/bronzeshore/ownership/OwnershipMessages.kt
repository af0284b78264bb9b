/** Messages between processes about ownership. */
package dev.bronzeshore.ownership

import kotlinx.serialization.Serializable

/**
 * Asks the process [deputyId] not to take over [dataCentre] before [untilMs].
 *
 * The id is part of the request because an address can be reused by a process that remembers no promises.
 */
@Serializable
public data class DeputyLeaseRequest(
    public val dataCentre: String,
    public val term: Long,
    public val deputyId: String,
    public val untilMs: Long,
)

/** Answer of the process [processId]; when [granted], it does not take over before [untilMs]. */
@Serializable
public data class DeputyLeaseResponse(
    public val dataCentre: String,
    public val term: Long,
    public val processId: String,
    public val granted: Boolean,
    public val untilMs: Long,
)

/** Tells [nextOwnerId] that the row now names it as owner, so that it need not wait for its next read. */
@Serializable
public data class OwnershipHandover(
    public val dataCentre: String,
    public val term: Long,
    public val nextOwnerId: String,
)
