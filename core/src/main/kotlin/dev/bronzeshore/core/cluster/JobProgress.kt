/** What is stored of a job's progress: enough to go on after the leader is lost. */
package dev.bronzeshore.core.cluster

import kotlinx.serialization.Serializable

/** Progress of one step in one occurrence; lists name tasks by their index. */
@Serializable
public data class StepProgress(
    public val occurrence: Int,
    public val step: Int,
    public val doneTasks: List<Int> = emptyList(),
    /** Numbers of the failed runs; a run that is reported twice counts once. A gang's runs stand under index 0. */
    public val failedRuns: Map<Int, Set<Long>> = emptyMap(),
    public val checkpoints: Map<Int, String> = emptyMap(),
)

/** Progress of a job. */
@Serializable
public data class JobProgress(
    public val phase: JobPhase,
    public val steps: List<StepProgress> = emptyList(),
    /** Time of day at which the job ended, or null while it is open; the row is deleted some time after it. */
    public val endedAtMs: Long? = null,
)

/** Counts that callers ask for: jobs without a started task, by queue. */
@Serializable
public data class WaitingCounts(public val byQueue: Map<String, Int>)

/** Logarithm of each worker's run times relative to other workers, by worker id. */
@Serializable
public data class WorkerSpeedsRow(public val logSlowness: Map<String, Double>)

/** Workers that may run tasks of this cluster. */
@Serializable
public data class WorkerRosterRow(public val workers: List<RosterWorker>)

/**
 * A worker life on the roster.
 *
 * [heldJobs] is set while the worker does not answer: only tasks of these jobs may run there. When it is null, tasks of
 * any job may.
 */
@Serializable
public data class RosterWorker(
    public val workerId: String,
    public val startedAtMs: Long,
    public val address: String,
    public val service: String,
    public val heldJobs: Set<String>? = null,
)

/** A process and where its peers reach it. */
@Serializable
public data class NodeRow(
    public val processName: String,
    public val bootId: String,
    public val peerAddress: String,
    /** How much of a leader's work the machine can carry, in processors; a narrow link counts as few processors. */
    public val leaderCapacity: Double = 0.0,
)
