/** Safety rules of the ownership protocol as values, so that tests can show what each of them prevents. */
package dev.bronzeshore.ownership

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS

/** Production uses the defaults. */
internal data class OwnershipRules(
    /** Margin subtracted from own deadlines and added to those of others. */
    val driftMs: Long = MAX_CLOCK_SKEW_MS,
    /** A process with an unsettled takeover write makes no promises for that term. */
    val withdrawsBeforeTakeover: Boolean = true,
    /** A re-read that finds the old version does not settle a write: the write may still be on its way. */
    val onlyNewVersionSettles: Boolean = true,
    /** While a write is unsettled, the owner relies only on what holds for every row that the table may hold. */
    val countsUnsettledRows: Boolean = true,
    /** A process does not take over before the end of its own promises. */
    val keepsOwnPromises: Boolean = true,
    /** Longest time that promises may reach past the row's lease. */
    val promiseHorizonMs: Long = TABLE_OUTAGE_LIMIT_MS,
    /** Time after the row's lease from which any process may take over. */
    val takeoverHorizonMs: Long = TABLE_OUTAGE_LIMIT_MS,
)
