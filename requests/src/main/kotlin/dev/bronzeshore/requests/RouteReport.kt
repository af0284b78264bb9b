/** What happened to a request that was answered. */
package dev.bronzeshore.requests

/** The endpoint that answered with [status], the time in queues, and the attempts that were made. */
public data class RouteReport(
    public val endpointId: String,
    public val status: Int,
    public val waitedMs: Long,
    public val attempts: Int,
)
