/** Count of requests in flight, for a graceful stop. */
package dev.bronzeshore.requests

import kotlinx.coroutines.CompletableDeferred
import java.util.concurrent.atomic.AtomicInteger

/** Lets requests in until it is closed, and tells when the last one has left. Thread-safe. */
internal class InFlightTracker {
    /** Number of requests, plus [CLOSED] once closed. */
    private val state = AtomicInteger()
    private val drained = CompletableDeferred<Unit>()

    val inFlight: Int get() = state.get() and CLOSED.inv()

    /** Enters unless the gate is closed. */
    fun tryStart(): Boolean {
        val before = state.getAndUpdate { if (it and CLOSED != 0) it else it + 1 }
        return before and CLOSED == 0
    }

    /** Leaves; each successful [tryStart] is followed by exactly one call. */
    fun finish(): Unit = check(tryFinish()) { "nothing is in flight" }

    /** Leaves if anything is in flight. */
    fun tryFinish(): Boolean {
        val before = state.getAndUpdate { if (it and CLOSED.inv() == 0) it else it - 1 }
        if (before == CLOSED + 1) drained.complete(Unit)
        return before and CLOSED.inv() > 0
    }

    fun close() {
        if (state.updateAndGet { it or CLOSED } == CLOSED) drained.complete(Unit)
    }

    /** Suspends until the gate is closed and nothing is in flight. */
    suspend fun awaitDrained(): Unit = drained.await()

    /** True once the gate is closed and nothing is in flight. */
    val isDrained: Boolean get() = state.get() == CLOSED

    /** True if [awaitDrained] returns at once. */
    val isDrainSignalled: Boolean get() = drained.isCompleted

    private companion object {
        const val CLOSED = 1 shl 30
    }
}
