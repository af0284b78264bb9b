/** A clock for durations: it never jumps, and it does not advance while the machine is suspended. */
package dev.bronzeshore.core

private const val NANOS_PER_MS = 1_000_000L

/** Milliseconds of the monotonic clock of this process; only differences are meaningful. */
public val MonotonicClock: ClockMs = { System.nanoTime() / NANOS_PER_MS }
