/** Settings of a process on the platform. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.ListenAddress

/** Limits that the platform sets for workers and callers. */
public data class ClusterBounds(
    /** Longest lease that a worker grants. */
    public val maxLeaseMs: Long,
    /** Longest time that a worker takes to stop a run. */
    public val stopGraceMs: Long,
    /** Time that the members of a gang wait for each other. */
    public val gangWaitMs: Long,
    /** Time between a stop signal and the kill that follows it. */
    public val stopSignalGraceMs: Long,
    /** Time for which the state of a finished job is kept. */
    public val statusRetentionMs: Long,
    /** A scheduled task may start this much before it is due. */
    public val earlyStartMs: Long,
    /** Factor by which a task is slower away from its data or its rack. */
    public val remoteFactor: Double,
    /** Time after the withdrawal of a key from which no call with it may be served; null if there is no such bound. */
    public val keyWithdrawalMs: Long? = null,
    /** Interval at which workers renew their entries in the directory; null if it is not known. */
    public val workerHeartbeatMs: Long? = null,
)

/** All settings of a process. */
public data class ClusterSettings(
    public val processName: String,
    public val dataCentre: String,
    public val callers: ListenAddress,
    public val readiness: ListenAddress,
    public val peers: ListenAddress,
    public val metrics: ListenAddress,
    public val storeAddress: String,
    public val adviceAddress: String?,
    /** Processors available on this machine; 1.0 is one whole processor. */
    public val processorShare: Double,
    /** Bandwidth of this machine's link, in megabits per second. */
    public val linkMbps: Double,
    public val bounds: ClusterBounds,
)
