/** Tasks on workers: identity, commands and reports. This is the complete interface to a worker. */
package dev.bronzeshore.core

import arrow.core.Either
import kotlinx.serialization.Serializable

/** One attempt to run one part of a job. */
@Serializable
public data class TaskId(public val jobId: String, public val part: Int, public val attempt: Long)

/**
 * Starts a task.
 *
 * The worker does not start it after [startBeforeMs] and stops it once [leaseUntilMs] has passed without a renewal.
 */
@Serializable
public data class TaskStart(
    public val task: TaskId,
    public val size: Resources,
    public val kind: String,
    public val payload: String,
    public val startBeforeMs: Long,
    public val leaseUntilMs: Long,
    public val runMs: Long = 0,
)

@Serializable
public data class TaskRenewal(public val task: TaskId, public val leaseUntilMs: Long)

/** Action on a running task. */
@Serializable
public enum class TaskAction { STOP, CHECKPOINT, THROTTLE }

@Serializable
public data class TaskOrder(public val task: TaskId, public val action: TaskAction)

/** Commands of one call to a worker; without any commands the call is a heartbeat. */
@Serializable
public data class WorkerCommands(
    public val starts: List<TaskStart> = emptyList(),
    public val renewals: List<TaskRenewal> = emptyList(),
    public val orders: List<TaskOrder> = emptyList(),
    /** Ended tasks whose status the worker may discard. */
    public val acknowledged: List<TaskId> = emptyList(),
)

@Serializable
public enum class TaskState { RUNNING, SUCCEEDED, FAILED, STOPPED, CHECKPOINTED, REFUSED, LEASE_EXPIRED }

@Serializable
public data class TaskStatus(
    public val task: TaskId,
    public val state: TaskState,
    public val startedAtMs: Long,
    public val leaseUntilMs: Long,
    public val used: Resources = Resources.NONE,
    public val output: String = "",
)

/** A worker's response: all running tasks, and the ended tasks that have not been acknowledged. */
@Serializable
public data class WorkerReport(
    public val workerId: String,
    public val observedAtMs: Long,
    public val capacity: Resources,
    public val tasks: List<TaskStatus>,
)

/** Sends commands to the worker at an address and returns its report. */
public typealias WorkerApi = suspend (address: String, commands: WorkerCommands) -> Either<Fault, WorkerReport>
