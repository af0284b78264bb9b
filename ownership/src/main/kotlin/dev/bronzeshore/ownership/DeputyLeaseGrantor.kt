/** Grants deputy leases of one data centre on behalf of this process. */
package dev.bronzeshore.ownership

/** Answers requests for deputy leases and keeps the end of the latest granted lease. */
internal class DeputyLeaseGrantor(
    private val dataCentre: String,
    private val self: Member,
    private val rowTracker: OwnerRowTracker,
    private val rules: OwnershipRules,
) {
    /** Until this time this process does not take over, whatever the row says. */
    var latestGrantedUntilMs: Long = 0
        private set

    /** Why the last request was refused; null if it was granted. */
    var lastRefusal: String? = null
        private set

    fun respond(request: DeputyLeaseRequest, nowMs: Long): DeputyLeaseResponse {
        val untilMs = boundedUntilMs(request, nowMs)
        val refusal = refusalOf(request) ?: "it ended at $untilMs".takeIf { untilMs <= nowMs }
        lastRefusal = refusal
        val granted = refusal == null
        if (granted) latestGrantedUntilMs = maxOf(latestGrantedUntilMs, untilMs)
        return DeputyLeaseResponse(dataCentre, request.term, self.processId, granted, if (granted) untilMs else 0)
    }

    /** A request with a later term proves that an uncertain takeover of an earlier term can no longer take effect. */
    private fun refusalOf(request: DeputyLeaseRequest): String? {
        val row = rowTracker.row
        val term = row?.term ?: 0
        val isTakeoverUncertain = rules.refusesLeasesDuringTakeover && !rowTracker.isCertain
        return when {
            request.dataCentre != dataCentre -> "it is for ${request.dataCentre}"
            request.deputyId != self.processId -> "it is for the process ${request.deputyId}"
            request.term < term -> "term ${request.term} is over, the known term is $term"
            request.term > term -> null
            isTakeoverUncertain -> "the outcome of a takeover from term $term is unknown"
            row?.ownerId == self.processId -> "this process owns the data centre in term $term"
            else -> null
        }
    }

    /** Limits a lease to one lease period from now, and to the time from which any process may take over. */
    private fun boundedUntilMs(request: DeputyLeaseRequest, nowMs: Long): Long {
        val limitMs = minOf(request.untilMs, nowMs + LEASE_MS + rules.clockSkewMs)
        val row = rowTracker.row?.takeIf { it.term == request.term } ?: return limitMs
        return minOf(limitMs, row.leaseUntilMs + rules.deputyLeaseLimitMs - rules.clockSkewMs)
    }
}
