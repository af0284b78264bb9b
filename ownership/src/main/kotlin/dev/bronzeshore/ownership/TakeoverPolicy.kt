/** Rules 4 and 5 of section 4.1 of the design page: when a process may take over a data centre. */
package dev.bronzeshore.ownership

/** Decides on takeovers by the row as last read and the deputy leases that this process granted. */
internal class TakeoverPolicy(
    private val dataCentre: String,
    private val self: Member,
    private val members: () -> List<Member>,
    private val isGone: (processId: String) -> Boolean,
    private val leaseGrantor: DeputyLeaseGrantor,
    private val rules: OwnershipRules,
) {
    private var openTakeoverSinceMs: Long? = null

    /** A newer row restarts the takeover delay of processes that are neither owner nor deputy. */
    fun onNewRow() {
        openTakeoverSinceMs = null
    }

    fun canTakeOver(row: OwnerRow?, nowMs: Long): Boolean = when {
        // No other process can act while the row names this one, even if this process no longer knows its deadlines.
        row?.ownerId == self.processId -> true

        rules.respectsGrantedLeases && nowMs < leaseGrantor.latestGrantedUntilMs + rules.clockSkewMs -> false

        row?.deputyId == self.processId -> nowMs >= row.leaseUntilMs + rules.clockSkewMs

        row != null && nowMs < openTakeoverAtMs(row) -> false

        else -> nowMs >= (openTakeoverSinceMs ?: nowMs.also { openTakeoverSinceMs = it }) + delayMs()
    }

    /** Earliest time at which [canTakeOver] can become true according to the known row; null if unknown. */
    fun takeoverAtMs(row: OwnerRow?): Long? {
        val allowedMs =
            if (row?.deputyId == self.processId) {
                row.leaseUntilMs + rules.clockSkewMs
            } else {
                openTakeoverSinceMs?.plus(delayMs())
            }
        return allowedMs?.coerceAtLeast(leaseGrantor.latestGrantedUntilMs + rules.clockSkewMs)
    }

    /** End of all effects of the owner named in [row] if this process takes over at [nowMs]. */
    fun previousEffectsEndMs(row: OwnerRow, nowMs: Long): Long {
        val leaseEndMs = maxOf(row.leaseUntilMs, leaseGrantor.latestGrantedUntilMs) + rules.clockSkewMs
        // The leases that a deputy marked as gone has granted are unknown, but each lasts one lease period at most.
        val markedGoneEndMs = if (isMarkedGone(row)) nowMs + LEASE_MS + 2 * rules.clockSkewMs else 0
        return maxOf(row.effectsUntilMs, leaseEndMs, markedGoneEndMs)
    }

    /** Time from which a process that is neither owner nor deputy may take over, apart from its delay. */
    private fun openTakeoverAtMs(row: OwnerRow): Long = if (row.deputyId == null || isMarkedGone(row)) {
        row.leaseUntilMs + rules.clockSkewMs
    } else {
        row.leaseUntilMs + rules.openTakeoverDelayMs
    }

    private fun isMarkedGone(row: OwnerRow): Boolean = isGone(row.ownerId) && row.deputyId?.let(isGone) ?: true

    private fun delayMs(): Long = takeoverDelayMs(dataCentre, self, members())
}
