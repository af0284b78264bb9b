/** State of the ownership of one data centre in one process, and its changes. */
package dev.bronzeshore.ownership

/** [isOwner] is true while this process may act; the other fields are as last read or written, null or 0 if unknown. */
public data class OwnershipState(
    public val isOwner: Boolean,
    public val term: Long,
    public val ownerId: String?,
    public val deputyId: String?,
    public val actUntilMs: Long,
)

/**
 * This process became the owner for [term].
 *
 * No effect of a previous owner (allotment, start command) lasts past [previousEffectsUntilMs]. The same term can be
 * gained again after a loss if the deputy renews its lease during a table outage. Identifiers derived from the term
 * must therefore not restart at the same values within one process.
 */
public data class OwnershipGained(public val term: Long, public val previousEffectsUntilMs: Long)
