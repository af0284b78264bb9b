/** What a leader keeps in memory for the jobs that the cluster has accepted. */
package dev.bronzeshore.scheduler

public data class MemoryUse(
    /** Tasks that are tracked one by one. */
    public val trackedTasks: Int = 0,
    /** Estimate for all accepted jobs, which the memory for jobs bounds. */
    public val heldBytes: Long = 0,
)
