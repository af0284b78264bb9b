/** Periods of the ownership protocol (section 4.1 of the design page). */
package dev.bronzeshore.ownership

/** How long a renewal by the table or by the deputy lasts. */
public const val LEASE_MS: Long = 3_000

/** Time between two calls of [DataCentreOwnership.tick]. */
public const val RENEWAL_PERIOD_MS: Long = 1_000

/** Longest time past the row's lease that promises may reach; exceeds the 30 minute outage that must be survived. */
public const val TABLE_OUTAGE_LIMIT_MS: Long = 2_700_000

/** Time-out of the table calls of one tick, so that a tick ends before the next is due. */
internal const val CALL_TIMEOUT_MS: Long = 800

/** Time-out of a promise call; all attempts together fit into [CALL_TIMEOUT_MS]. */
internal const val PROMISE_TIMEOUT_MS: Long = 400

/**
 * Promise calls per deputy and tick. With one attempt, two lost messages in a row let the lease run out: in 10
 * simulated outages of 30 minutes with 2% loss per message, the typical run had a gap of 0.5 s.
 */
internal const val PROMISE_ATTEMPTS: Int = 2

/** A deputy that granted nothing for this long is replaced while the table answers. */
internal const val DEPUTY_FAILURE_MS: Long = 3_000

/** Delay per rank between processes that try to take the same unowned data centre, so that writes rarely collide. */
internal const val TAKEOVER_STAGGER_MS: Long = 300

/** Additional delay of processes outside the data centre; lets local processes start and take it first. */
internal const val REMOTE_TAKEOVER_DELAY_MS: Long = 1_500

/** Attempts to write the hand-over row when an earlier renewal is still unsettled. */
internal const val HAND_OVER_ATTEMPTS: Int = 3

/** A silent process is asked again after this time. */
internal const val DEPUTY_RETRY_MS: Long = 30_000
