/** What a caller asks for when it submits a job: steps of equal tasks with dependencies between the steps. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.Resources
import kotlinx.serialization.Serializable

/** One step: [replicas] tasks of the same size. */
@Serializable
public data class StepDescription(
    public val replicas: Int,
    /** Room that one task takes on a worker. */
    public val size: Resources,
    /** The caller's estimate of one task's run time; often far off. */
    public val estimateMs: Long,
    /** Numbers of earlier steps whose tasks must all be done first. */
    public val after: List<Int> = emptyList(),
    /** The tasks work only while all of them run. */
    public val isGang: Boolean = false,
    public val isCheckpointable: Boolean = false,
    /** A second copy of a task may run at the same time. */
    public val isSpeculative: Boolean = false,
    /** The tasks run until the job is cancelled. */
    public val isService: Boolean = false,
    /** The tasks are slower when they run on more than one rack. */
    public val prefersOneRack: Boolean = false,
    /** Label that a worker must carry, or null. */
    public val requiredLabel: String? = null,
    /** Rack that holds the input data, or null. */
    public val dataRack: String? = null,
    /** Most tasks of the step on one worker; 0 means any number. */
    public val maxPerWorker: Int = 0,
    /** The tasks use what others leave idle: their processors are not counted against the worker. */
    public val usesIdleProcessors: Boolean = false,
    /** Tasks of a service step that may be unavailable at the same time by decisions of the scheduler. */
    public val disruptionBudget: Int? = null,
    /** Bound on the tail latency of a service task, or 0. */
    public val targetLatencyMs: Long = 0,
    /** Name of what the tasks run, or null. */
    public val image: String? = null,
)

/** A schedule: occurrence k is due at [firstDueMs] + k x [periodMs] of the time of day. */
@Serializable
public data class JobSchedule(public val firstDueMs: Long, public val periodMs: Long, public val count: Int)

/** A job as submitted. */
@Serializable
public data class JobDescription(
    /** Handed to the worker unchanged. */
    public val payload: String,
    public val steps: List<StepDescription>,
    public val schedule: JobSchedule? = null,
) {
    public val occurrences: Int get() = schedule?.count ?: 1
    public val isService: Boolean get() = steps.any { it.isService }
}

/** The settings of the queue at the time of acceptance, kept with the job so that it survives the queue's removal. */
@Serializable
public data class QueueTerms(
    public val queue: String,
    public val service: String,
    public val priority: Int,
    public val maxAttempts: Int,
    /** The objective is [stretch] times the longest chain of tasks, plus [graceMs]. */
    public val stretch: Double,
    public val graceMs: Long,
    public val advice: AdviceTerms? = null,
)

/** What a call to the advice service costs and how long its answer holds. */
@Serializable
public data class AdviceTerms(
    public val decisionMs: Double,
    public val perWorkerMs: Double,
    public val validityMs: Long,
)

/** One accepted job as it is stored. */
@Serializable
public data class AcceptedJob(
    public val jobId: String,
    public val description: JobDescription,
    public val terms: QueueTerms,
    /** Time of day of the acceptance; used for ordering only. */
    public val acceptedAtMs: Long,
)
