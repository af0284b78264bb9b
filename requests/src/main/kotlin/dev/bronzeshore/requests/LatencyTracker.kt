/** Latency estimates of endpoints. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.ClockMs
import kotlin.math.exp

/**
 * Exponentially weighted moving average of the latency of each endpoint. Used on the control thread only: not
 * thread-safe.
 *
 * An estimate without new observations decays to the mean of all endpoints, so that an endpoint that was slow is tried
 * again.
 */
internal class LatencyTracker(private val clock: ClockMs) {
    private class Estimate(var latencyMs: Double, var observedAtMs: Long, var avoidUntilMs: Long)

    private val estimates = HashMap<String, Estimate>()
    private var meanMs = INITIAL_LATENCY_MS

    /** Records the latency of a response. */
    fun recordResponse(endpointId: String, latencyMs: Long) {
        val observedMs = maxOf(1.0, latencyMs.toDouble())
        val estimate = estimates.getOrPut(endpointId) { Estimate(observedMs, clock(), Long.MIN_VALUE) }
        estimate.latencyMs += SMOOTHING * (observedMs - estimate.latencyMs)
        estimate.observedAtMs = clock()
        estimate.avoidUntilMs = Long.MIN_VALUE
        meanMs += MEAN_SMOOTHING * (observedMs - meanMs)
    }

    /** Records that an endpoint could not be reached; it is avoided for [AVOID_AFTER_FAILURE_MS]. */
    fun recordFailure(endpointId: String) {
        val estimate = estimates.getOrPut(endpointId) { Estimate(meanMs, clock(), Long.MIN_VALUE) }
        estimate.avoidUntilMs = clock() + AVOID_AFTER_FAILURE_MS
    }

    fun expectedMs(endpointId: String): Double {
        val estimate = estimates[endpointId] ?: return meanMs
        val nowMs = clock()
        if (nowMs < estimate.avoidUntilMs) return UNREACHABLE_LATENCY_MS
        val ageMs = maxOf(0L, nowMs - estimate.observedAtMs)
        return meanMs + (estimate.latencyMs - meanMs) * exp(-ageMs / DECAY_MS)
    }

    /** Removes the estimates of all other endpoints. */
    fun retain(endpointIds: Set<String>) {
        estimates.keys.retainAll(endpointIds)
    }

    private companion object {
        const val INITIAL_LATENCY_MS = 10.0
        const val SMOOTHING = 0.2
        const val MEAN_SMOOTHING = 0.05
        const val DECAY_MS = 10_000.0

        /** Longer than any response takes, so that an unreachable endpoint is chosen only if there is no other. */
        const val UNREACHABLE_LATENCY_MS = 1e9
        const val AVOID_AFTER_FAILURE_MS = 1_000L
    }
}
