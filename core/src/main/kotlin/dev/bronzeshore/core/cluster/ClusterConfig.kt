/** The operators' configuration of queues and services. */
package dev.bronzeshore.core.cluster

/** A queue that accepts jobs for a service. */
public data class Queue(
    public val host: String,
    public val pathPrefix: String,
    public val terms: QueueTerms,
    /** Callers need no key. */
    public val isPublic: Boolean = false,
)

/** One version of the configuration. */
public data class ClusterConfig(
    public val version: Long,
    public val queues: List<Queue>,
    public val maxBodyBytes: Int,
    /** The client accounts; null if the deployment has none and all callers are served alike. */
    public val accounts: ClientAccounts? = null,
) {
    private val byHost = queues.groupBy { it.host }

    /** The queue on [host] whose prefix is the longest match for [path], or null. */
    public fun queueFor(host: String, path: String): Queue? =
        byHost[host]?.filter { path.startsWith(it.pathPrefix) }?.maxByOrNull { it.pathPrefix.length }
}
