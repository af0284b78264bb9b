/** Result of a request whose response was forwarded. */
package dev.bronzeshore.requests

/** The endpoint that responded with [status], the time in queues, and the number of attempts. */
public data class RouteReport(
    public val endpointId: String,
    public val status: Int,
    public val waitedMs: Long,
    public val attempts: Int,
)
