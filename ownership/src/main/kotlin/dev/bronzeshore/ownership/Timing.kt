/** Periods of the ownership protocol (section 4.1 of the design page). */
package dev.bronzeshore.ownership

/** Duration of a lease, both in the row and from the deputy. */
public const val LEASE_MS: Long = 3_000

/** Time between two calls of [DataCentreOwnership.tick]. */
public const val RENEWAL_PERIOD_MS: Long = 1_000

/** Longest time past the lease in the row for which deputy leases are granted; an outage of 30 minutes must fit in. */
public const val TABLE_OUTAGE_LIMIT_MS: Long = 2_700_000

/** Timeout of all table calls of one tick, so that a tick ends before the next one is due. */
internal const val TABLE_CALL_TIMEOUT_MS: Long = 800

/** Timeout of one call for a deputy lease; all attempts together fit into [TABLE_CALL_TIMEOUT_MS]. */
internal const val DEPUTY_CALL_TIMEOUT_MS: Long = 400

/**
 * Calls per deputy and tick until one succeeds. With one attempt, two lost messages in a row let the lease expire: in
 * 10 simulated outages of 30 minutes with 2% loss per message, the typical run had a gap of 0.5 s.
 */
internal const val DEPUTY_CALL_ATTEMPTS: Int = 2

/** A deputy that granted no lease for this long is replaced while the table is available. */
internal const val DEPUTY_UNRESPONSIVE_MS: Long = 3_000

/** Delay between the attempts of two processes to take over the same data centre, so that writes rarely conflict. */
internal const val TAKEOVER_STAGGER_MS: Long = 300

/** Additional delay of processes outside the data centre, so that local processes can start and take over first. */
internal const val REMOTE_TAKEOVER_DELAY_MS: Long = 1_500

/** Attempts to write the handover row while the outcome of an earlier renewal is uncertain. */
internal const val HANDOVER_ATTEMPTS: Int = 3

/** Time without a grant after which an unresponsive process can become a candidate for the deputy again. */
internal const val DEPUTY_RETRY_MS: Long = 30_000
