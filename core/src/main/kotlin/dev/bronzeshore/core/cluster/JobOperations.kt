/** Operations with which callers submit, query, cancel and count jobs, and their results. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.Serializable

/** The state of a job as reported to callers. */
@Serializable
public enum class JobPhase { PENDING, RUNNING, COMPLETED, FAILED, CANCELLED }

/** True for terminal states, which no longer change. */
public val JobPhase.isEnded: Boolean get() = this != JobPhase.PENDING && this != JobPhase.RUNNING

/** Result of a submission. */
@Serializable
public sealed interface SubmitAnswer {
    /** The job is stored. */
    @Serializable
    public data object Accepted : SubmitAnswer

    /** The job was not stored and will never run; the caller may retry after [retryAfterMs]. */
    @Serializable
    public data class Rejected(public val code: ResultCode, public val reason: String, public val retryAfterMs: Long) :
        SubmitAnswer

    /** It is not known whether the job was stored. */
    @Serializable
    public data class Unknown(public val reason: String) : SubmitAnswer
}

/** Result of a query for a job's state. */
@Serializable
public sealed interface StateAnswer {
    @Serializable
    public data class Found(public val phase: JobPhase) : StateAnswer

    @Serializable
    public data object NoSuchJob : StateAnswer

    @Serializable
    public data object Unavailable : StateAnswer
}

/** Operations that any process offers to callers. */
public class JobOperations(
    public val submit: suspend (AcceptedJob) -> SubmitAnswer,
    public val stateOf: suspend (jobId: String) -> StateAnswer,
    /** True once the cancellation is stored. */
    public val cancel: suspend (jobId: String) -> Boolean,
    /** Number of jobs of a queue without a started task, or null if it is not known. */
    public val waitingJobCount: suspend (queue: String) -> Int?,
)
