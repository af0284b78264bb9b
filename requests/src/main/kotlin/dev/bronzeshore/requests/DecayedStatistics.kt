/** Exponentially decayed statistics. */
package dev.bronzeshore.requests

import kotlin.math.exp

/** Exponentially weighted mean over time of a value that changes in steps. */
internal class DecayedLevel(private val windowMs: Double) {
    private var mean = 0.0
    private var level = 0.0
    private var updatedAtMs = Long.MIN_VALUE

    fun set(nowMs: Long, value: Int) {
        mean = mean(nowMs)
        level = value.toDouble()
        updatedAtMs = nowMs
    }

    fun mean(nowMs: Long): Double {
        if (nowMs <= updatedAtMs || updatedAtMs == Long.MIN_VALUE) return mean
        return level + (mean - level) * exp(-(nowMs - updatedAtMs) / windowMs)
    }
}

/** Exponentially weighted rate of events. */
internal class DecayedRate(private val windowMs: Double) {
    private var weight = 0.0
    private var updatedAtMs = Long.MIN_VALUE

    fun record(nowMs: Long) {
        weight = decayedWeight(nowMs) + 1
        updatedAtMs = maxOf(updatedAtMs, nowMs)
    }

    fun perMs(nowMs: Long): Double = decayedWeight(nowMs) / windowMs

    private fun decayedWeight(nowMs: Long): Double {
        if (nowMs <= updatedAtMs || updatedAtMs == Long.MIN_VALUE) return weight
        return weight * exp(-(nowMs - updatedAtMs) / windowMs)
    }
}
