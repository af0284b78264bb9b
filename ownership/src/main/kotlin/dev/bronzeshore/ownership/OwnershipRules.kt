/** Safety rules of the ownership protocol as parameters, so that tests can show what each of them prevents. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS

/** Production code uses the defaults. */
internal data class OwnershipRules(
    /** Margin subtracted from deadlines of this process and added to those of others. */
    val clockSkewMs: Long = MAX_CLOCK_SKEW_MS,
    /** A process that does not know the outcome of its takeover write grants no lease for that term. */
    val refusesLeasesDuringTakeover: Boolean = true,
    /** A re-read that finds the old version does not resolve a write: the write may still arrive at the table. */
    val onlyNewVersionResolvesWrites: Boolean = true,
    /** While the outcome of a write is unknown, the owner acts only if every row that the table may hold allows it. */
    val considersUncertainRows: Boolean = true,
    /** A process does not take over before the end of the deputy leases that it granted. */
    val respectsGrantedLeases: Boolean = true,
    /** Longest time that deputy leases may reach past the lease in the row. */
    val deputyLeaseLimitMs: Long = TABLE_OUTAGE_LIMIT_MS,
    /** Time after the lease in the row from which any process may take over. */
    val openTakeoverDelayMs: Long = TABLE_OUTAGE_LIMIT_MS,
)
