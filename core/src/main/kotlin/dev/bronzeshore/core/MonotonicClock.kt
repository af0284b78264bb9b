/** A clock for periods: it never jumps, and it stands still while the machine is suspended. */
package dev.bronzeshore.core

private const val NANOS_PER_MS = 1_000_000L

/** Milliseconds of the monotonic clock of this process; only differences have a meaning. */
public val MonotonicClock: ClockMs = { System.nanoTime() / NANOS_PER_MS }
