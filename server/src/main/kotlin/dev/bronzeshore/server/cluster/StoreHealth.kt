/** Whether the store serves this process. Used on the control thread. */
package dev.bronzeshore.server.cluster

import arrow.core.Either
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.LatencyEstimate
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.StoreOutcome

/** Failures in a row after which the store counts as lost; a single call may meet a full part or a reset connection. */
private const val FAILURES = 2

/** A failure counts only if no call has succeeded for this time, or for some times the typical time of a call. */
private const val RECENT_MS = 250L
private const val RECENT_CALLS = 3

internal class StoreHealth(private val clock: ClockMs) {
    private val log = EventLog("store")
    private val writes = LatencyEstimate()
    private var failures = 0

    /** Typical time of a recent write. */
    val typicalWriteMs: Long get() = writes.typicalMs

    /** Steady time of the last call that the store answered. */
    var succeededAtMs: Long = clock()
        private set

    /** False while the store does not serve this process, as far as its last calls show. */
    var isServed: Boolean = true
        private set

    /** Watches the calls of [store]. */
    fun watching(store: ClusterStore) = ClusterStore(
        transact = { transaction ->
            val startedAtMs = clock()
            store.transact(transaction).also {
                writes.observe(clock() - startedAtMs)
                note(it)
            }
        },
        readPage = { query -> store.readPage(query).also { note(it) } },
        changes = { table, version, waitMs -> store.changes(table, version, waitMs).also { note(it) } },
    )

    private fun note(outcome: StoreOutcome) = when (outcome) {
        is StoreOutcome.Applied, is StoreOutcome.Conflict -> succeeded()
        is StoreOutcome.NotApplied -> failed(outcome.reason)
        is StoreOutcome.Unknown -> failed(outcome.reason)
    }

    private fun note(answer: Either<ReadFailure, Any>) = answer.fold(
        ifLeft = { if (it is ReadFailure.Unavailable) failed(it.reason) else succeeded() },
        ifRight = { succeeded() },
    )

    private fun succeeded() {
        failures = 0
        succeededAtMs = clock()
        if (!isServed) log.event("regained")
        isServed = true
    }

    private fun failed(reason: String) {
        failures++
        if (!isServed ||
            failures < FAILURES ||
            clock() - succeededAtMs < maxOf(RECENT_MS, RECENT_CALLS * writes.typicalMs)
        ) {
            return
        }
        isServed = false
        log.event("lost", "cause" to reason, "since_success_ms" to clock() - succeededAtMs)
    }
}
