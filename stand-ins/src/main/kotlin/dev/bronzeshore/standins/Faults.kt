/** The faults that a stand-in can be told to show. */
package dev.bronzeshore.standins

import kotlinx.serialization.Serializable

/** How a server that is down treats a call; the call has no effect in either case. */
@Serializable
public enum class DownMode { UP, CLOSE_CONNECTION, STATUS_503 }

/** Faults of one server; the defaults are a server without faults. */
@Serializable
public data class Faults(
    /** Time added before each call takes effect. */
    public val delayMs: Long = 0,
    public val down: DownMode = DownMode.UP,
    /** Holds calls back until the pause ends; they take effect then. */
    public val paused: Boolean = false,
    /** Drops the answer of every Nth write after the write took effect; 0 drops none. */
    public val dropAnswerEvery: Int = 0,
    /** Share of writes, from 0 to 1, whose answer is dropped after the write took effect. */
    public val dropAnswerShare: Double = 0.0,
    /** Seed of the choice that [dropAnswerShare] makes. */
    public val dropSeed: Long = 1,
    /** Age of the VM list that is shown. */
    public val vmListLagMs: Long = 0,
    /** Makes a worker end each task that starts from now on as failed at once. */
    public val failTasks: Boolean = false,
    /** Makes an endpoint run each request and answer it with status 500. */
    public val failRequests: Boolean = false,
)
