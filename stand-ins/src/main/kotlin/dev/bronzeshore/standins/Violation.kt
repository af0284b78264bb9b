/** Violations of invariants that [RecordInvariantChecker] finds. */
package dev.bronzeshore.standins

import kotlinx.serialization.Serializable

@Serializable
public enum class ViolationKind {
    /** A worker's tasks used more than its capacity, and the sum of their sizes exceeded it, too. */
    OVER_COMMIT,

    /** A worker's tasks used more than its capacity although the sum of their sizes did not exceed it. */
    OVER_USE,

    /** A worker refused to start a task because its free capacity was too small. */
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

/** One violation; [subject] is the worker, the part (`JOB/PART`), the request or the endpoint concerned. */
@Serializable
public data class Violation(
    public val kind: ViolationKind,
    public val subject: String,
    public val atMs: Long,
    public val detail: String,
)
