/** Counters of the scheduler as function types, so that this module does not depend on a metrics library. */
package dev.bronzeshore.scheduler

public class SchedulerMetrics(
    public val start: (result: String) -> Unit = {},
    public val end: (kind: String) -> Unit = {},
    public val workerPoll: () -> Unit = {},
    public val journalWrite: (outcome: String, durationMs: Long) -> Unit = { _, _ -> },
    /** Time from acceptance to the end of a job, by queue and phase. */
    public val jobEnded: (queue: String, phase: String, durationMs: Long) -> Unit = { _, _, _ -> },
    public val advice: (outcome: String) -> Unit = {},
    public val planningRound: (durationMs: Long) -> Unit = {},
    /** An unexpected error ended a piece of work, named by the argument. */
    public val unexpectedError: (work: String) -> Unit = {},
    /** A stored row could not be decoded. */
    public val malformedRow: () -> Unit = {},
    /** A worker's report could not be decoded whole. */
    public val malformedReport: () -> Unit = {},
    public val invariantBroken: () -> Unit = {},
)
