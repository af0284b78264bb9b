/** A job as requested by a caller: steps of identical tasks, with dependencies between the steps. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.Resources
import kotlinx.serialization.Serializable

/** One step: [replicas] tasks of the same size. */
@Serializable
public data class StepDescription(
    public val replicas: Int,
    /** Resources that one task uses on a worker. */
    public val size: Resources,
    /** The caller's estimate of one task's run time, often inaccurate. */
    public val estimateMs: Long,
    /** Numbers of the earlier steps that must be complete first. */
    public val after: List<Int> = emptyList(),
    /** The tasks make progress only while all of them run. */
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
    /** The tasks use processors that others leave idle; their processors are not counted against the worker. */
    public val usesIdleProcessors: Boolean = false,
    /** Number of tasks of a service step that the scheduler may make unavailable at the same time. */
    public val disruptionBudget: Int? = null,
    /** Upper bound on the tail latency of a service task, or 0 for none. */
    public val targetLatencyMs: Long = 0,
    /** Name of the image that the tasks run, or null. */
    public val image: String? = null,
)

/** A schedule: occurrence k is due at the wall-clock time [firstDueMs] + k x [periodMs]. */
@Serializable
public data class JobSchedule(public val firstDueMs: Long, public val periodMs: Long, public val count: Int)

/** A job as submitted. */
@Serializable
public data class JobDescription(
    /** Passed to the worker unchanged. */
    public val payload: String,
    public val steps: List<StepDescription>,
    public val schedule: JobSchedule? = null,
) {
    public val occurrences: Int get() = schedule?.count ?: 1
    public val isService: Boolean get() = steps.any { it.isService }
}

/** Settings of the queue at the time of acceptance; stored with the job so that they outlive the queue. */
@Serializable
public data class QueueTerms(
    public val queue: String,
    public val service: String,
    public val priority: Int,
    public val maxAttempts: Int,
    /** The completion objective is [stretch] times the critical path of the job, plus [graceMs]. */
    public val stretch: Double,
    public val graceMs: Long,
    public val advice: AdviceTerms? = null,
)

/** Duration of a call to the advice service and validity of its response. */
@Serializable
public data class AdviceTerms(
    public val decisionMs: Double,
    public val perWorkerMs: Double,
    public val validityMs: Long,
) {
    /** Time that the service takes for a call about so many workers. */
    public fun durationMs(workers: Int): Long = (decisionMs + perWorkerMs * workers).toLong()
}

/** An accepted job as stored. */
@Serializable
public data class AcceptedJob(
    public val jobId: String,
    public val description: JobDescription,
    public val terms: QueueTerms,
    /** Wall-clock time of the acceptance; used for ordering only. */
    public val acceptedAtMs: Long,
    /** Name of the client account that submitted the job; null without accounts. */
    public val account: String? = null,
)
