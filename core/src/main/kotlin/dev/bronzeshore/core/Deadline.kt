/** Clock skew margin and lease duration for deadlines that are stored and compared with another local clock. */
package dev.bronzeshore.core

/** Largest difference between the wall clocks of two VMs that the safety rules tolerate. */
public const val MAX_CLOCK_SKEW_MS: Long = 250

/** Longest time that a worker keeps running a task without a lease renewal. */
public const val TASK_LEASE_MS: Long = 30_000

/** Converts a duration into the deadline that is stored. */
public fun ClockMs.deadlineIn(periodMs: Long): Long = this() + periodMs
