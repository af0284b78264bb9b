/** Margins applied wherever a stored deadline is compared with the local clock. */
package dev.bronzeshore.core

/** Largest difference between the wall clocks of two VMs that the safety rules allow for. */
public const val MAX_CLOCK_SKEW_MS: Long = 250

/** Longest time that a worker keeps a task whose lease has not been renewed. */
public const val TASK_LEASE_MS: Long = 30_000

/** Converts a period into the deadline that is stored. */
public fun ClockMs.deadlineIn(periodMs: Long): Long = this() + periodMs
