/** Counters of the scheduler as function types, so that this module does not depend on a metrics library. */
package dev.bronzeshore.scheduler

/** Counters of what is lost with workers. */
public class LossMetrics(
    /** A run ended without an end that its worker reported. */
    public val runLost: () -> Unit = {},
    /** A worker incarnation ended, by draining or otherwise. */
    public val workerGone: (wasDraining: Boolean) -> Unit = {},
    /** A task was given up because it crashed its workers. */
    public val crashingTask: () -> Unit = {},
    /** A worker has a run whose task also has a run elsewhere, or is done. */
    public val duplicateRun: () -> Unit = {},
)

/** What the progress journal counts. */
public class JournalMetrics(
    public val write: (outcome: String, durationMs: Long) -> Unit = { _, _ -> },
    /** The store does not take a row of a table for what it holds. */
    public val rowRefused: (table: String) -> Unit = {},
)

/** What planning counts. */
public class PlanningMetrics(
    public val round: (durationMs: Long) -> Unit = {},
    /** A gang was found that the workers cannot hold even when they are idle. */
    public val gangWithoutRoom: () -> Unit = {},
)

public class SchedulerMetrics(
    public val start: (result: String) -> Unit = {},
    public val end: (kind: String) -> Unit = {},
    public val losses: LossMetrics = LossMetrics(),
    public val workerPoll: () -> Unit = {},
    public val journal: JournalMetrics = JournalMetrics(),
    /** Time from acceptance to the end of a job, by queue and phase. */
    public val jobEnded: (queue: String, phase: String, durationMs: Long) -> Unit = { _, _, _ -> },
    public val advice: (outcome: String) -> Unit = {},
    public val planning: PlanningMetrics = PlanningMetrics(),
    /** An unexpected error ended a piece of work, named by the argument. */
    public val unexpectedError: (work: String) -> Unit = {},
    /** A stored row, or a part of a worker's report, could not be decoded. */
    public val malformedInput: (kind: String) -> Unit = {},
    public val invariantBroken: () -> Unit = {},
)
