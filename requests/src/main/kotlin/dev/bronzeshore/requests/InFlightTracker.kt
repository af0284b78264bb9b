/** Tracking of requests in flight, for a graceful stop. */
package dev.bronzeshore.requests

import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.atomic.AtomicInteger

/** Counts requests in flight, admits no new ones once closed, and signals when the last one has ended. Thread-safe. */
internal class InFlightTracker {
    /** Number of requests in flight, plus [CLOSED] once closed. */
    private val state = AtomicInteger()
    private val drained = CompletableDeferred<Unit>()

    val inFlight: Int get() = state.get() and CLOSED.inv()

    /** Counts a request; returns false if the tracker is closed. */
    fun tryStart(): Boolean {
        val before = state.getAndUpdate { if (it and CLOSED != 0) it else it + 1 }
        return before and CLOSED == 0
    }

    /** Ends a request; to be called exactly once after each successful [tryStart]. */
    fun finish(): Unit = check(tryFinish()) { "no request is in flight" }

    /** Ends a request; returns false if none is in flight. */
    fun tryFinish(): Boolean {
        val before = state.getAndUpdate { if (it and CLOSED.inv() == 0) it else it - 1 }
        if (before == CLOSED + 1) drained.complete(Unit)
        return before and CLOSED.inv() > 0
    }

    fun close() {
        if (state.updateAndGet { it or CLOSED } == CLOSED) drained.complete(Unit)
    }

    /** Suspends until the tracker is closed and no request is in flight. */
    suspend fun awaitDrained(): Unit = drained.await()

    /** True once the tracker is closed and no request is in flight. */
    val isDrained: Boolean get() = state.get() == CLOSED

    /** True if [awaitDrained] returns without suspending. */
    val isDrainSignalled: Boolean get() = drained.isCompleted

    private companion object {
        const val CLOSED = 1 shl 30
    }
}
