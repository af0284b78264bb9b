/** When a process that is not the owner may take over a data centre (rules 4 and 5 of section 4.1). */
package dev.bronzeshore.ownership

/** Decides by the row as last read and the own promises. */
internal class TakeoverPolicy(
    private val dataCentre: String,
    private val self: Member,
    private val members: () -> List<Member>,
    private val isGone: (processId: String) -> Boolean,
    private val keeper: PromiseKeeper,
    private val rules: OwnershipRules,
) {
    private var openSinceMs: Long? = null

    /** A newer row starts the waiting time of those that are not the deputy again. */
    fun onNewRow() {
        openSinceMs = null
    }

    fun mayTakeOver(row: OwnerRow?, nowMs: Long): Boolean = when {
        // Only this process can act under its own row, also after it lost track of its deadlines.
        row?.ownerId == self.processId -> true

        rules.keepsOwnPromises && nowMs < keeper.promisedUntilMs + rules.driftMs -> false

        row?.deputyId == self.processId -> nowMs >= row.leaseUntilMs + rules.driftMs

        row != null && nowMs < openAtMs(row) -> false

        else -> nowMs >= (openSinceMs ?: nowMs.also { openSinceMs = it }) + delayMs()
    }

    /** Earliest time at which [mayTakeOver] can become true, as far as the known row tells; null if not foreseeable. */
    fun takeoverAtMs(row: OwnerRow?): Long? {
        val rowMs =
            if (row?.deputyId == self.processId) {
                row.leaseUntilMs + rules.driftMs
            } else {
                openSinceMs?.plus(delayMs())
            }
        return rowMs?.coerceAtLeast(keeper.promisedUntilMs + rules.driftMs)
    }

    /** End of all effects of the owner named in [row] when this process takes over at [nowMs]. */
    fun previousEffectsEndMs(row: OwnerRow, nowMs: Long): Long {
        val leaseMs = maxOf(row.leaseUntilMs, keeper.promisedUntilMs) + rules.driftMs
        // The promises of a deputy that is marked as gone are unknown, but each is bounded by one lease.
        val markedMs = if (isMarkedGone(row)) nowMs + LEASE_MS + 2 * rules.driftMs else 0
        return maxOf(row.effectsUntilMs, leaseMs, markedMs)
    }

    /** Time from which a process that is neither owner nor deputy may take over. */
    private fun openAtMs(row: OwnerRow): Long = if (row.deputyId == null || isMarkedGone(row)) {
        row.leaseUntilMs + rules.driftMs
    } else {
        row.leaseUntilMs + rules.takeoverHorizonMs
    }

    private fun isMarkedGone(row: OwnerRow): Boolean = isGone(row.ownerId) && row.deputyId?.let(isGone) ?: true

    private fun delayMs(): Long = takeoverDelayMs(dataCentre, self, members())
}
