/** Tracks whether the store is available to this process. Confined to the control thread. */
package dev.bronzeshore.server.cluster

import arrow.core.Either
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.LatencyEstimate
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.StoreOutcome

/** Consecutive failures before the store is unavailable; one call may hit a full partition or a reset connection. */
private const val FAILURE_THRESHOLD = 2

/** Time without a success before the store is unavailable: this or a multiple of the typical latency, if longer. */
private const val MIN_FAILURE_PERIOD_MS = 250L
private const val FAILURE_PERIOD_LATENCY_FACTOR = 3

/** Bounds of the time after which rejected callers may try again: the attempts of a caller then span eight seconds. */
private const val MIN_RETRY_AFTER_MS = 1_000L
private const val MAX_RETRY_AFTER_MS = 2_000L

internal class StoreHealth(private val clock: ClockMs) {
    private val log = EventLog("store")
    private val writes = LatencyEstimate()
    private var consecutiveFailures = 0

    /** Typical latency of recent writes. */
    val typicalWriteMs: Long get() = writes.typicalMs

    /** Monotonic time of the last call that the store answered. */
    var lastSuccessAtMs: Long = clock()
        private set

    /** False while the store does not serve this process, judging by its latest calls. */
    var isAvailable: Boolean = true
        private set

    /**
     * When a rejected caller may try again: an outage is expected to last about as long again as it has lasted. Callers
     * give up after a few attempts, so that a constant short time lets them give up before a longer outage has ended.
     */
    val retryAfterMs: Long get() = (clock() - lastSuccessAtMs).coerceIn(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)

    /** Wraps [store] so that the outcome of each call is recorded. */
    fun monitor(store: ClusterStore) = ClusterStore(
        transact = { transaction ->
            val startedAtMs = clock()
            store.transact(transaction).also {
                // The time of a call without an answer is only its timeout, and says nothing about the latency.
                if (it !is StoreOutcome.Unknown) writes.observe(clock() - startedAtMs)
                record(it)
            }
        },
        readPage = { query -> store.readPage(query).also { record(it) } },
        changes = { table, version, waitMs -> store.changes(table, version, waitMs).also { record(it) } },
    )

    private fun record(outcome: StoreOutcome) = when (outcome) {
        is StoreOutcome.Applied, is StoreOutcome.Conflict -> recordSuccess()
        is StoreOutcome.NotApplied -> recordFailure(outcome.reason)
        is StoreOutcome.Unknown -> recordFailure(outcome.reason)
    }

    private fun record(answer: Either<ReadFailure, Any>) = answer.fold(
        ifLeft = { if (it is ReadFailure.Unavailable) recordFailure(it.reason) else recordSuccess() },
        ifRight = { recordSuccess() },
    )

    private fun recordSuccess() {
        consecutiveFailures = 0
        lastSuccessAtMs = clock()
        if (!isAvailable) log.event("regained")
        isAvailable = true
    }

    private fun recordFailure(reason: String) {
        consecutiveFailures++
        if (!isAvailable ||
            consecutiveFailures < FAILURE_THRESHOLD ||
            clock() - lastSuccessAtMs < maxOf(MIN_FAILURE_PERIOD_MS, FAILURE_PERIOD_LATENCY_FACTOR * writes.typicalMs)
        ) {
            return
        }
        isAvailable = false
        log.event("lost", "cause" to reason, "since_success_ms" to clock() - lastSuccessAtMs)
    }
}
