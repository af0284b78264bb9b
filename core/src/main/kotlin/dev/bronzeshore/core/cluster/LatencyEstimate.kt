/** Moving average of call latency, from which timeouts are derived. Thread-safe. */
package dev.bronzeshore.core.cluster

import java.util.concurrent.atomic.AtomicLong

/** Divisor for the weight of a new observation; a slow period shows after two or three calls. */
private const val WEIGHT_DIVISOR = 3L

public class LatencyEstimate {
    private val estimateMs = AtomicLong(0)

    /** Average duration of recent calls. */
    public val typicalMs: Long get() = estimateMs.get()

    /** Records a call that completed, or timed out, after [durationMs]. */
    public fun observe(durationMs: Long) {
        estimateMs.updateAndGet { it + (durationMs - it) / WEIGHT_DIVISOR }
    }
}
