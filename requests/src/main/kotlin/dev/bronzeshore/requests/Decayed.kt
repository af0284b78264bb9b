/** Exponentially decayed statistics. */
package dev.bronzeshore.requests

import kotlin.math.exp

/** Time-weighted mean of a level that changes in steps. */
internal class DecayedLevel(private val windowMs: Double) {
    private var mean = 0.0
    private var level = 0.0
    private var atMs = Long.MIN_VALUE

    fun set(nowMs: Long, value: Int) {
        mean = mean(nowMs)
        level = value.toDouble()
        atMs = nowMs
    }

    fun mean(nowMs: Long): Double {
        if (nowMs <= atMs || atMs == Long.MIN_VALUE) return mean
        return level + (mean - level) * exp(-(nowMs - atMs) / windowMs)
    }
}

/** Events per millisecond. */
internal class DecayedRate(private val windowMs: Double) {
    private var weight = 0.0
    private var atMs = Long.MIN_VALUE

    fun count(nowMs: Long) {
        weight = decayed(nowMs) + 1
        atMs = maxOf(atMs, nowMs)
    }

    fun perMs(nowMs: Long): Double = decayed(nowMs) / windowMs

    private fun decayed(nowMs: Long): Double {
        if (nowMs <= atMs || atMs == Long.MIN_VALUE) return weight
        return weight * exp(-(nowMs - atMs) / windowMs)
    }
}
