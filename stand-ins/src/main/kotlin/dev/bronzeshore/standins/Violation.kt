/** What the judge of the records found. */
package dev.bronzeshore.standins

import kotlinx.serialization.Serializable

@Serializable
public enum class ViolationKind {
    /** A worker's tasks used more than it holds, and their sizes were more than it holds, too. */
    OVER_COMMIT,

    /** A worker's tasks used more than it holds although their sizes fit. */
    OVER_USE,

    /** A worker was told to start a task for which it had no room; it refused. */
    START_WITHOUT_ROOM,

    /** Two attempts of one part of a job ran at the same time. */
    PART_TWICE_AT_ONCE,

    /** A part of a job that is not idempotent ran more than once. */
    PART_REPEATED,

    /** A request that is not idempotent ran more than once. */
    REQUEST_REPEATED,

    /** A request reached an endpoint that had no free slot; it did not run. */
    REQUEST_WITHOUT_SLOT,
}

/** One violation; [subject] is the worker, the part (`JOB/PART`), the request or the endpoint that it concerns. */
@Serializable
public data class Violation(
    public val kind: ViolationKind,
    public val subject: String,
    public val atMs: Long,
    public val detail: String,
)
