/** Divides the slots of one service between processes and plans. */
package dev.bronzeshore.requests

/** What one process wants for one plan; [allowed] bounds the plan's sum over all processes. */
internal class ShareWant(val processId: String, val plan: String, val wanted: Int, val weight: Int, val allowed: Int) {
    /** Slots assigned so far. */
    var share: Int = 0
}

/**
 * Weighted max-min fair division.
 *
 * First each process gets a standing slot per plan. Then demand with some headroom is met, the plan with the smallest
 * share for its weight first. Half of what is left is spread so that every process has about the same spare; the
 * other half stays with the owner and is granted to whoever asks next, without waiting for another process's refresh.
 */
internal class ShareDivider(private val capacity: Int, private val wants: List<ShareWant>) {
    private val planShares = HashMap<String, Int>()
    private var free = capacity

    fun divide() {
        val standing = minOf(free, maxOf(1, capacity / STANDING_DIVISOR))
        assign(standing, { 1 }, { it.share })
        assign(free, { it.wanted + it.wanted / HEADROOM_DIVISOR + HEADROOM_SLOTS }, { it.share })
        assign(free / 2, { Int.MAX_VALUE }, { it.share - it.wanted })
    }

    private fun assign(slots: Int, limit: (ShareWant) -> Int, level: (ShareWant) -> Int) {
        var left = slots
        val open = wants.toMutableList()
        while (left > 0) {
            open.removeAll { it.share >= limit(it) || planShare(it) >= it.allowed }
            val next = open.minWithOrNull(compareBy<ShareWant> { planShare(it).toDouble() / it.weight }.thenBy(level))
            if (next == null) return
            next.share++
            planShares.merge(next.plan, 1, Int::plus)
            free--
            left--
        }
    }

    private fun planShare(want: ShareWant): Int = planShares[want.plan] ?: 0

    private companion object {
        /** Standing slots take at most a quarter of a service, so that many idle plans do not displace demand. */
        const val STANDING_DIVISOR = 4

        /** A burst within the next second should not have to wait for the next grant. */
        const val HEADROOM_DIVISOR = 2
        const val HEADROOM_SLOTS = 1
    }
}
