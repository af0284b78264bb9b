/** The promises that this process made to the owner of a data centre. */
package dev.bronzeshore.ownership

/** Decides on promise requests and remembers the longest promise. */
internal class PromiseKeeper(
    private val dataCentre: String,
    private val self: Member,
    private val knowledge: RowKnowledge,
    private val rules: OwnershipRules,
) {
    /** This process does not take over before this time, whatever the row says. */
    var promisedUntilMs: Long = 0
        private set

    fun answer(request: DeputyLeaseRequest, nowMs: Long): DeputyLeaseResponse {
        val untilMs = grantedUntilMs(request, nowMs)
        val granted = !refuses(request) && untilMs > nowMs
        if (granted) promisedUntilMs = maxOf(promisedUntilMs, untilMs)
        return DeputyLeaseResponse(dataCentre, request.term, self.processId, granted, if (granted) untilMs else 0)
    }

    /** A later term proves that an unsettled takeover from an earlier term can no longer take effect. */
    private fun refuses(request: DeputyLeaseRequest): Boolean {
        if (request.dataCentre != dataCentre || request.deputyId != self.processId) return true
        val term = knowledge.row?.term ?: 0
        if (request.term != term) return request.term < term
        val withdrawn = rules.withdrawsBeforeTakeover && !knowledge.settled
        return withdrawn || knowledge.row?.ownerId == self.processId
    }

    /** Bounds a promise by one lease from now and by the horizon, from which any process may take over. */
    private fun grantedUntilMs(request: DeputyLeaseRequest, nowMs: Long): Long {
        val boundMs = minOf(request.untilMs, nowMs + LEASE_MS + rules.driftMs)
        val row = knowledge.row?.takeIf { it.term == request.term } ?: return boundMs
        return minOf(boundMs, row.leaseUntilMs + rules.promiseHorizonMs - rules.driftMs)
    }
}
