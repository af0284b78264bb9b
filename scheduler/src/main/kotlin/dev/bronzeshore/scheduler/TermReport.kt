/**
 * Logs when a leader goes on without knowing that its term is held, so that an operator can tell two leaders that act
 * at the same time from one that gave up too early.
 */
package dev.bronzeshore.scheduler

/** Two heartbeats of a leader are missing after this time. */
private const val UNCONFIRMED_AFTER_MS = 1_000L

internal class TermReport(private val context: TermContext) {
    private val startedAtMs = context.clock()
    private var isUnconfirmed = false

    /** Logs a line if the term has become unconfirmed or confirmed since the last call. */
    fun reportChange() {
        val now = context.clock()
        val unconfirmedMs = now - maxOf(startedAtMs, context.confirmation.heldAtMs)
        if (unconfirmedMs > UNCONFIRMED_AFTER_MS == isUnconfirmed) return
        isUnconfirmed = !isUnconfirmed
        val contacted = context.workerPool.workers.filter { it.isContacted }
        context.log.event(
            if (isUnconfirmed) "term_unconfirmed" else "term_confirmed",
            "term" to context.term,
            "unconfirmed_ms" to unconfirmedMs,
            "reachable_workers" to contacted.count { it.isReachable },
            "unreachable_workers" to contacted.count { !it.isReachable },
        )
    }
}
