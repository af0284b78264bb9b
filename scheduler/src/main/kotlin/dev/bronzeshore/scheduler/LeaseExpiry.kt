/** Tells which leases have certainly expired, and the runs under them with them. */
package dev.bronzeshore.scheduler

/** Margin for clock error and for the transit of a request, added to the time after which a lease has expired. */
private const val LEASE_MARGIN_MS = 300L

/** A worker's clock may run slow, so that its leases last longer by up to this factor. */
private const val SLOW_CLOCK_FACTOR = 1.03

/** Longest time for which a former leader grants leases after its authority was revoked, with a margin. */
private const val FORMER_LEADER_STOPS_WITHIN_MS = 2_500L

internal class LeaseExpiry(private val context: TermContext) {
    /** Longest time from the grant of a lease until the runs under it have ended. */
    private val leaseTimeMs =
        (context.bounds.maxLeaseMs * SLOW_CLOCK_FACTOR).toLong() + context.bounds.stopGraceMs + LEASE_MARGIN_MS

    /** Monotonic time from which all workers that a former leader may have used are known; null before [onLoaded]. */
    private var loadedAtMs: Long? = null

    /** Monotonic time after which all leases that former leaders granted have expired; null while it is not known. */
    private val formerLeasesUntilMs: Long?
        get() {
            val loadedMs = loadedAtMs ?: return null
            val revokedMs = context.authority.formerRevokedAtMs() ?: return null
            return maxOf(loadedMs, revokedMs) + FORMER_LEADER_STOPS_WITHIN_MS + leaseTimeMs
        }

    /** All workers that a former leader may have used are known and polled from now on. */
    fun onLoaded() {
        loadedAtMs = context.clock()
    }

    /** True if all leases that former leaders granted have expired. */
    fun areFormerOver(now: Long): Boolean {
        val untilMs = formerLeasesUntilMs ?: return false
        return context.confirmation.haveExpired(now) { it >= untilMs }
    }

    /** True if the leases that this leader granted to [worker] have expired. */
    fun isOver(worker: TrackedWorker, now: Long): Boolean = context.confirmation.haveExpired(now) { timeMs ->
        worker.clock.isLeaseOver(timeMs - context.bounds.stopGraceMs - LEASE_MARGIN_MS)
    }

    /** The run has ended for certain also if the next incarnation of the worker has carried out its start. */
    fun isOver(placement: Placement, now: Long): Boolean =
        context.confirmation.haveExpired(now) { it >= placement.sentUntilMs + START_VALIDITY_MS + leaseTimeMs }
}
