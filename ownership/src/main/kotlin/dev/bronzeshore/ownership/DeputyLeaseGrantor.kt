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

    fun respond(request: DeputyLeaseRequest, nowMs: Long): DeputyLeaseResponse {
        val untilMs = boundedUntilMs(request, nowMs)
        val granted = !mustRefuse(request) && untilMs > nowMs
        if (granted) latestGrantedUntilMs = maxOf(latestGrantedUntilMs, untilMs)
        return DeputyLeaseResponse(dataCentre, request.term, self.processId, granted, if (granted) untilMs else 0)
    }

    /** A request with a later term proves that an uncertain takeover of an earlier term can no longer take effect. */
    private fun mustRefuse(request: DeputyLeaseRequest): Boolean {
        if (request.dataCentre != dataCentre || request.deputyId != self.processId) return true
        val term = rowTracker.row?.term ?: 0
        if (request.term != term) return request.term < term
        val isTakeoverUncertain = rules.refusesLeasesDuringTakeover && !rowTracker.isCertain
        return isTakeoverUncertain || rowTracker.row?.ownerId == self.processId
    }

    /** Limits a lease to one lease period from now, and to the time from which any process may take over. */
    private fun boundedUntilMs(request: DeputyLeaseRequest, nowMs: Long): Long {
        val limitMs = minOf(request.untilMs, nowMs + LEASE_MS + rules.clockSkewMs)
        val row = rowTracker.row?.takeIf { it.term == request.term } ?: return limitMs
        return minOf(limitMs, row.leaseUntilMs + rules.deputyLeaseLimitMs - rules.clockSkewMs)
    }
}
