/** What a process knows about the ownership of one data centre. */
package dev.bronzeshore.ownership

/** [owner] is whether this process may act; the other fields are as last read or written, null or 0 when unknown. */
public data class OwnershipState(
    public val owner: Boolean,
    public val term: Long,
    public val ownerId: String?,
    public val deputyId: String?,
    public val actUntilMs: Long,
)

/**
 * Ownership was gained for [term].
 *
 * No effect of a previous owner (allotment, start command) lasts past [previousEffectsUntilMs]. The same term can be
 * gained again after a loss when the deputy renews it during a table outage; identifiers derived from the term must
 * therefore not restart at the same values within one process.
 */
public data class OwnershipGained(public val term: Long, public val previousEffectsUntilMs: Long)
