/** The promises that an owner holds, and the choice of the process to ask for them. */
package dev.bronzeshore.ownership

/** Tracks which processes grant promises; not thread-safe. */
internal class HeldPromises(
    private val dataCentre: String,
    private val self: Member,
    private val members: () -> List<Member>,
    private val isGone: (processId: String) -> Boolean,
) {
    private val untilMs = HashMap<String, Long>()
    private val lastGrantMs = HashMap<String, Long>()
    private val lastSeen = HashMap<String, Member>()
    private val chooser = DeputyChooser(dataCentre, self)

    /** Process that should replace the deputy; asked for promises before the row names it. */
    var candidate: Member? = null
        private set

    fun untilMs(processId: String?): Long = untilMs[processId] ?: 0

    fun onGranted(promise: DeputyLeaseResponse, nowMs: Long) {
        untilMs.merge(promise.processId, promise.untilMs, ::maxOf)
        lastGrantMs[promise.processId] = nowMs
    }

    /** Members without this process and those that operators marked as gone. */
    fun others(): List<Member> = members().filter { it.processId != self.processId && !isGone(it.processId) }.onEach {
        lastSeen[it.processId] =
            it
    }

    /** Also finds a process whose own row has expired, because its promises are still of use. */
    fun member(processId: String): Member? = lastSeen[processId]

    /** Picks a candidate when the deputy is missing, silent or in a worse place than another process. */
    fun updateCandidate(deputyId: String?, nowMs: Long) {
        val others = others()
        val best = chooser.choose(others.filterNot { isSilent(it.processId, nowMs) })
        val deputy = others.find { it.processId == deputyId }
        val keepsDeputy =
            deputy != null &&
                !isSilent(deputy.processId, nowMs) &&
                (best == null || chooser.tier(best) >= chooser.tier(deputy))
        candidate = if (keepsDeputy) null else best?.takeIf { it.processId != deputyId }
    }

    /** Starts the time after which a process that grants nothing counts as silent. */
    fun onAsked(processId: String, nowMs: Long) {
        val grantedMs = lastGrantMs.getOrPut(processId) { nowMs }
        if (nowMs - grantedMs > DEPUTY_RETRY_MS) lastGrantMs[processId] = nowMs
    }

    private fun isSilent(processId: String, nowMs: Long): Boolean =
        nowMs - (lastGrantMs[processId] ?: nowMs) in (DEPUTY_FAILURE_MS + 1)..DEPUTY_RETRY_MS
}
