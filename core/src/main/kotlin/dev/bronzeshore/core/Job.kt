/** Jobs: durable work that runs as tasks on workers. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

@Serializable
public enum class Urgency { URGENT, NORMAL, PATIENT }

/** A job as submitted by a caller; the plan is determined by the caller's token. */
@Serializable
public data class JobSubmission(
    public val kind: String,
    public val size: Resources,
    public val parts: Int = 1,
    public val urgency: Urgency = Urgency.NORMAL,
    public val allAtOnce: Boolean = false,
    public val idempotent: Boolean = true,
    /** Latest start time; null means no limit. */
    public val startBeforeMs: Long? = null,
    /** The caller's estimate of the run time, often inaccurate. */
    public val declaredRunMs: Long = 60_000,
    /** Data centre that must run the job; null means any. */
    public val dataCentre: String? = null,
    /** Argument passed to the tasks unchanged. */
    public val payload: String = "",
)

@Serializable
public enum class JobState { QUEUED, RUNNING, SUCCEEDED, FAILED, CANCELLED, REFUSED, UNKNOWN }

/** True for terminal states, which no longer change. */
public val JobState.isFinal: Boolean
    get() = this != JobState.QUEUED && this != JobState.RUNNING

/** A job as stored in its row of the table service. */
@Serializable
public data class JobRecord(
    public val jobId: String,
    public val plan: String,
    public val submission: JobSubmission,
    public val dataCentre: String,
    public val acceptedAtMs: Long,
    public val state: JobState = JobState.QUEUED,
    public val code: ResultCode = ResultCode.OK,
    public val results: List<PartResult> = emptyList(),
    public val endedAtMs: Long? = null,
)

/** Output of one part and the worker that ran it. */
@Serializable
public data class PartResult(
    public val part: Int,
    public val workerId: String,
    public val startedAtMs: Long,
    public val output: String,
)
