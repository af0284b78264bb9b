/** Faults that can be injected into a stand-in. */
package dev.bronzeshore.standins

import kotlinx.serialization.Serializable

/** How a server that is down treats a call; the call has no effect in either case. */
@Serializable
public enum class DownMode { UP, CLOSE_CONNECTION, STATUS_503 }

/** Faults of one server; by default there are none. */
@Serializable
public data class Faults(
    /** Delay before each call takes effect. */
    public val delayMs: Long = 0,
    public val down: DownMode = DownMode.UP,
    /** Suspends calls until the pause ends; they take effect then. */
    public val paused: Boolean = false,
    /** Drops the response to every Nth write after the write was applied; 0 drops none. */
    public val dropAnswerEvery: Int = 0,
    /** Fraction of the writes, from 0 to 1, whose response is dropped after the write was applied. */
    public val dropAnswerShare: Double = 0.0,
    /** Seed of the random selection by [dropAnswerShare]. */
    public val dropSeed: Long = 1,
    /** Age of the VM list that is returned. */
    public val vmListLagMs: Long = 0,
    /** Makes a worker fail each newly started task immediately. */
    public val failTasks: Boolean = false,
    /** Makes an endpoint run each request and respond with status 500. */
    public val failRequests: Boolean = false,
)
