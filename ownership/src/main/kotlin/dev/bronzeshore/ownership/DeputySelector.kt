/** Selection of the deputy, and the order in which processes try to take over an unowned data centre. */
package dev.bronzeshore.ownership

/** Selects the deputy of [owner], which owns [dataCentre]. */
internal class DeputySelector(private val dataCentre: String, private val owner: Member) {
    /** Lower is better: 0 for another data centre in the owner's region, 1 for another region, 2 for the same one. */
    fun tier(member: Member): Int = when {
        member.dataCentre == owner.dataCentre -> 2
        member.region != owner.region -> 1
        else -> 0
    }

    /** Within a tier, prefers processes in the owned data centre, so that ownership tends to be local; then by hash. */
    fun select(candidates: List<Member>): Member? = candidates
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

/** Delay before [self] tries to take over the unowned [dataCentre]: local processes try first, one after another. */
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
