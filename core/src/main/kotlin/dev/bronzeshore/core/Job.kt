/** Jobs: durable work that runs as tasks on workers. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

@Serializable
public enum class Urgency { URGENT, NORMAL, PATIENT }

/** What a caller declares about a job; the plan comes from the caller's token. */
@Serializable
public data class JobSubmission(
    public val kind: String,
    public val size: Resources,
    public val parts: Int = 1,
    public val urgency: Urgency = Urgency.NORMAL,
    public val allAtOnce: Boolean = false,
    public val idempotent: Boolean = true,
    /** Latest start; null means that the job waits as long as needed. */
    public val startBeforeMs: Long? = null,
    /** The caller's estimate of the run time, a property of the job and often far off. */
    public val declaredRunMs: Long = 60_000,
    /** Data centre that must run the job; null lets the system choose. */
    public val dataCentre: String? = null,
    /** Argument handed to the tasks unchanged. */
    public val payload: String = "",
)

@Serializable
public enum class JobState { QUEUED, RUNNING, SUCCEEDED, FAILED, CANCELLED, REFUSED, UNKNOWN }

/** True when the state can no longer change. */
public val JobState.isFinal: Boolean
    get() = this != JobState.QUEUED && this != JobState.RUNNING

/** One job as its row in the table service holds it. */
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

/** What one part returned and where it ran. */
@Serializable
public data class PartResult(
    public val part: Int,
    public val workerId: String,
    public val startedAtMs: Long,
    public val output: String,
)
