/** The deputy leases that an owner holds, and the choice of its deputy. */
package dev.bronzeshore.ownership

/** Tracks which processes grant deputy leases to this owner; not thread-safe. */
internal class DeputyLeaseTracker(
    private val dataCentre: String,
    private val self: Member,
    private val members: () -> List<Member>,
    private val isGone: (processId: String) -> Boolean,
) {
    private val untilMs = HashMap<String, Long>()
    private val lastGrantMs = HashMap<String, Long>()
    private val lastSeenMembers = HashMap<String, Member>()
    private val deputySelector = DeputySelector(dataCentre, self)

    /** Process that should replace the deputy; it must grant a lease before the row names it as deputy. */
    var candidate: Member? = null
        private set

    fun untilMs(processId: String?): Long = untilMs[processId] ?: 0

    fun recordLease(response: DeputyLeaseResponse, nowMs: Long) {
        untilMs.merge(response.processId, response.untilMs, ::maxOf)
        lastGrantMs[response.processId] = nowMs
    }

    /** Members other than this process, without those that operators marked as gone. */
    fun otherMembers(): List<Member> = members()
        .filter { it.processId != self.processId && !isGone(it.processId) }
        .onEach { lastSeenMembers[it.processId] = it }

    /** Also finds a process whose process row has expired, because its leases still extend ownership. */
    fun member(processId: String): Member? = lastSeenMembers[processId]

    /** Selects a candidate if the deputy is missing, unresponsive or in a worse tier than another process. */
    fun updateCandidate(deputyId: String?, nowMs: Long) {
        val others = otherMembers()
        val best = deputySelector.select(others.filterNot { isUnresponsive(it.processId, nowMs) })
        val deputy = others.find { it.processId == deputyId }
        val keepsDeputy =
            deputy != null &&
                !isUnresponsive(deputy.processId, nowMs) &&
                (best == null || deputySelector.tier(best) >= deputySelector.tier(deputy))
        candidate = if (keepsDeputy) null else best?.takeIf { it.processId != deputyId }
    }

    /** Starts the time after which a process that grants no lease counts as unresponsive. */
    fun recordRequest(processId: String, nowMs: Long) {
        val grantedMs = lastGrantMs.getOrPut(processId) { nowMs }
        if (nowMs - grantedMs > DEPUTY_RETRY_MS) lastGrantMs[processId] = nowMs
    }

    private fun isUnresponsive(processId: String, nowMs: Long): Boolean =
        nowMs - (lastGrantMs[processId] ?: nowMs) in (DEPUTY_UNRESPONSIVE_MS + 1)..DEPUTY_RETRY_MS
}
