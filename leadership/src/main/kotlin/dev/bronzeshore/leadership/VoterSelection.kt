/** Selects the processes that vote on leases. */
package dev.bronzeshore.leadership

/** A process that has not answered for three rounds is no voter while the store confirms the leader's term. */
internal const val VOTER_LOST_AFTER_MS = 16_000L

/** The same if most voters do not answer: the leader may be cut off from them, and a successor might need them. */
internal const val MAJORITY_LOST_AFTER_MS = 120_000L

/**
 * The voters that the leader [own] wants to be stored in place of [stored], by the time since each process answered.
 *
 * Their number is odd, so that no cut leaves two halves; where it would be even, the leader is left out.
 */
internal fun selectVoters(own: String, stored: Set<String>?, silenceMs: Map<String, Long>): Set<String> {
    val recent = silenceMs.filterValues { it < VOTER_LOST_AFTER_MS }.keys + own
    val hasMajority = stored == null || isMajorityOf(stored, recent)
    val present = if (hasMajority) recent else silenceMs.filterValues { it < MAJORITY_LOST_AFTER_MS }.keys + own
    return if (present.size % 2 == 0) present - own else present
}
