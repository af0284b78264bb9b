/**
 * The vote of one process on the leases of leaders that the store does not confirm.
 *
 * A process votes for the term that it has observed in the store since its own start, until it has promised a later
 * leader not to. A promise is lost when the process ends; its next boot has observed nothing before it has read the
 * store, which then names the later leader.
 */
package dev.bronzeshore.leadership

/** Confined to the control thread. [observedTerm] is the newest term that this boot has read in the store, or null. */
public class LeaseVoter(private val observedTerm: () -> Long?) {
    private var revokedBelowTerm = 0L

    /** True if this process votes for leases of [term] now. */
    public fun votesFor(term: Long): Boolean = term >= revokedBelowTerm && observedTerm() == term

    /** Promises not to vote for a term before [term] any more. */
    public fun revokeBelow(term: Long) {
        revokedBelowTerm = maxOf(revokedBelowTerm, term)
    }

    /** True if a later leader has asked this process to vote for [term] no more. */
    public fun hasRevoked(term: Long): Boolean = term < revokedBelowTerm
}
