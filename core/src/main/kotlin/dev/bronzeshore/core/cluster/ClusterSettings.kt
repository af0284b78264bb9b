/** What a process on the platform learns from its settings. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.ListenAddress

/** Bounds that the platform sets for workers and callers. */
public data class ClusterBounds(
    /** Longest lease that a worker grants. */
    public val maxLeaseMs: Long,
    /** Longest time that a worker takes to stop a run. */
    public val stopGraceMs: Long,
    /** Time that gang members wait for each other. */
    public val gangWaitMs: Long,
    /** Time between a stop signal and a kill. */
    public val stopSignalGraceMs: Long,
    /** Time for which the state of a finished job is kept. */
    public val statusRetentionMs: Long,
    /** A scheduled task may start this much before it is due. */
    public val earlyStartMs: Long,
    /** Factor by which a task is slower away from its data or its rack. */
    public val remoteFactor: Double,
)

/** The whole of the settings. */
public data class ClusterSettings(
    public val processName: String,
    public val dataCentre: String,
    public val callers: ListenAddress,
    public val readiness: ListenAddress,
    public val peers: ListenAddress,
    public val metrics: ListenAddress,
    public val storeAddress: String,
    public val adviceAddress: String?,
    /** Processors of this machine, as a number of whole ones. */
    public val processorShare: Double,
    /** Bandwidth of this machine's link, in megabits a second. */
    public val linkMbps: Double,
    public val bounds: ClusterBounds,
)
