/** Stored progress of jobs and state of the leader, from which a new leader resumes. */
package dev.bronzeshore.core.cluster

import kotlinx.serialization.Serializable

/** Progress of one step in one occurrence; tasks are identified by their index. */
@Serializable
public data class StepProgress(
    public val occurrence: Int,
    public val step: Int,
    public val doneTasks: List<Int> = emptyList(),
    /** Numbers of the failed runs; a run that is reported twice counts once. A gang's runs are recorded at index 0. */
    public val failedRuns: Map<Int, Set<Long>> = emptyMap(),
    public val checkpoints: Map<Int, String> = emptyMap(),
    /** Runs whose worker crashed, by the task's index. */
    public val crashedRuns: Map<Int, Set<CrashedRun>> = emptyMap(),
)

/** What a run had to do with the crash of its worker. */
public enum class CrashRole {
    /** The worker survived the run's start. */
    VICTIM,

    /** The worker gave no sign of life after the run's start. */
    SUSPECT,

    /** Suspected, and the worker was found dead at once after the run's start. */
    LIKELY_CAUSE,
}

/** A run whose worker crashed, or has not answered since the run's start and may have crashed if not [isCertain]. */
@Serializable
public data class CrashedRun(public val run: Long, public val role: CrashRole, public val isCertain: Boolean)

/** Consecutive occurrences of a job, both ends included. */
@Serializable
public data class OccurrenceRange(public val first: Int, public val last: Int)

/** Progress of a job; that of its steps is left out once the job has ended. */
@Serializable
public data class JobProgress(
    public val phase: JobPhase,
    /** Progress in the occurrences that are not in [doneOccurrences]. */
    public val steps: List<StepProgress> = emptyList(),
    /** Wall-clock time at which the job ended, or null while it is open; the row is deleted after a retention time. */
    public val endedAtMs: Long? = null,
    /** Occurrences of a schedule whose tasks are all done, in ascending order. */
    public val doneOccurrences: List<OccurrenceRange> = emptyList(),
)

/** Progress of the tasks [first] to [last] of a step; it replaces what the job's own row says of them. */
@Serializable
public data class ProgressPart(public val first: Int, public val last: Int, public val progress: StepProgress)

/** Number of jobs without a started task for each queue, as reported to callers. */
@Serializable
public data class WaitingCounts(public val byQueue: Map<String, Int>)

/** Logarithm of each worker's run times relative to those of other workers, by worker id. */
@Serializable
public data class WorkerSpeedsRow(public val logSlowness: Map<String, Double>)

/** Workers that may run tasks of this cluster. */
@Serializable
public data class WorkerRosterRow(public val workers: List<RosterWorker>)

/**
 * A worker incarnation on the roster.
 *
 * [heldJobs] is set while the worker does not respond: only tasks of these jobs may be running there. When it is null,
 * tasks of any job may be. [trialJob] is set while only tasks of this job start there that may crash their workers.
 */
@Serializable
public data class RosterWorker(
    public val workerId: String,
    public val startedAtMs: Long,
    public val address: String,
    public val service: String,
    public val heldJobs: Set<String>? = null,
    public val trialJob: String? = null,
)

/** A process and the address at which its peers reach it. */
@Serializable
public data class NodeRow(
    public val processName: String,
    public val bootId: String,
    public val peerAddress: String,
    /** Capacity of the machine for the leader's work, in processors; a slow link counts as few processors. */
    public val leaderCapacity: Double = 0.0,
)
