/** The operators' configuration of queues and services. */
package dev.bronzeshore.core.cluster

/** A queue that accepts jobs for a service. */
public data class Queue(public val host: String, public val pathPrefix: String, public val terms: QueueTerms)

/** One version of the configuration. */
public data class ClusterConfig(
    public val version: Long,
    public val queues: List<Queue>,
    public val maxBodyBytes: Int,
) {
    private val byHost = queues.groupBy { it.host }

    /** The queue on [host] whose prefix is the longest match for [path], or null. */
    public fun queueFor(host: String, path: String): Queue? =
        byHost[host]?.filter { path.startsWith(it.pathPrefix) }?.maxByOrNull { it.pathPrefix.length }
}
