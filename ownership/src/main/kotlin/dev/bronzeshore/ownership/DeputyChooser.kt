/** Which process becomes deputy, and in which order processes try to take an unowned data centre. */
package dev.bronzeshore.ownership

/** Orders candidates for the deputy of a data centre whose owner is [owner]; the first one is the best. */
internal class DeputyChooser(private val dataCentre: String, private val owner: Member) {
    /** 0 for another data centre of the owner's region, 1 for another region, 2 for the owner's data centre. */
    fun tier(member: Member): Int = when {
        member.dataCentre == owner.dataCentre -> 2
        member.region != owner.region -> 1
        else -> 0
    }

    /** Prefers processes in the owned data centre, so that ownership tends to be local; hashes spread the rest. */
    fun choose(candidates: List<Member>): Member? = candidates
        .filter { it.processId != owner.processId }
        .minWithOrNull(
            compareBy(
                { tier(it) },
                { it.dataCentre != dataCentre },
                { (dataCentre + it.processId).hashCode() },
                { it.processId },
            ),
        )
}

/** How long [self] waits before it tries to take the unowned [dataCentre]: local processes go first, one by one. */
internal fun takeoverDelayMs(dataCentre: String, self: Member, members: List<Member>): Long {
    val order =
        (members.filter { it.processId != self.processId } + self)
            .sortedWith(
                compareBy(
                    { it.dataCentre != dataCentre },
                    { (dataCentre + it.processId).hashCode() },
                ),
            )
    val remoteMs = if (self.dataCentre == dataCentre) 0 else REMOTE_TAKEOVER_DELAY_MS
    return remoteMs + order.indexOf(self) * TAKEOVER_STAGGER_MS
}
