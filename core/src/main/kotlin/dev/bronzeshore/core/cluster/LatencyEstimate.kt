/** A running estimate of how long a call takes, from which time-outs are derived. Thread-safe. */
package dev.bronzeshore.core.cluster

import java.util.concurrent.atomic.AtomicLong

/** Weight of a new observation, as a divisor; a slow spell shows after two or three calls. */
private const val WEIGHT_DIVISOR = 3L

public class LatencyEstimate {
    private val estimateMs = AtomicLong(0)

    /** The typical time of recent calls. */
    public val typicalMs: Long get() = estimateMs.get()

    /** Takes in a call that took, or was given up after, [durationMs]. */
    public fun observe(durationMs: Long) {
        estimateMs.updateAndGet { it + (durationMs - it) / WEIGHT_DIVISOR }
    }
}
