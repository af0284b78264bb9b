/** The operators' configuration of queues and services. */
package dev.bronzeshore.core.cluster

/** A queue that takes jobs for a service. */
public data class Queue(public val host: String, public val pathPrefix: String, public val terms: QueueTerms)

/** One version of the configuration. */
public data class ClusterConfig(
    public val version: Long,
    public val queues: List<Queue>,
    public val maxBodyBytes: Int,
) {
    private val byHost = queues.groupBy { it.host }

    /** The queue with the longest prefix of [path] on [host], or null. */
    public fun queueFor(host: String, path: String): Queue? =
        byHost[host]?.filter { path.startsWith(it.pathPrefix) }?.maxByOrNull { it.pathPrefix.length }
}
