/** Records that the stand-ins keep themselves, independent of what bronzeshore reports. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.TaskState
import kotlinx.serialization.Serializable

@Serializable
public enum class ServerRole { TABLE, OBJECT_STORE, VM_LIST, WORKER, ENDPOINT }

/** Calls to a server, including those with an injected fault; for the table, a write is a transaction. */
@Serializable
public data class CallCounts(
    public val reads: Long = 0,
    public val writes: Long = 0,
    /** Transactions that were not applied because a condition did not hold. */
    public val conflicts: Long = 0,
    /** Rows put or deleted by applied transactions. */
    public val rowsWritten: Long = 0,
)

/** Why a worker did not start a task. */
@Serializable
public enum class Refusal { LATE, NO_ROOM }

/** Resources that a task uses from [sinceMs] on. */
@Serializable
public data class UseSince(public val sinceMs: Long, public val used: Resources)

/** One task on a worker; [ending] and [endedAtMs] are null while it runs. */
@Serializable
public data class TaskRecord(
    public val task: TaskId,
    public val workerId: String,
    public val kind: String,
    /** Size in the start command. */
    public val size: Resources,
    public val startedAtMs: Long,
    /** Usage of the task from its start on and after each change; empty if it was refused. */
    public val uses: List<UseSince>,
    public val endedAtMs: Long? = null,
    public val ending: TaskState? = null,
    /** Set if the task was refused; such a task never ran. */
    public val refusal: Refusal? = null,
)

/** How a request ended on an endpoint. */
@Serializable
public enum class RequestEnding { ANSWERED, ANSWER_DROPPED, FAILED, BROKEN, REFUSED_NO_SLOT }

/** One request on an endpoint; [ending] and [endedAtMs] are null while it runs. */
@Serializable
public data class RequestRecord(
    /** Value of the request's `Stand-In-Request` header. */
    public val requestId: String?,
    public val endpointId: String,
    public val method: String,
    public val path: String,
    public val startedAtMs: Long,
    public val endedAtMs: Long? = null,
    public val ending: RequestEnding? = null,
    public val bodyBytes: Long = 0,
)

/** The records of one server. */
@Serializable
public data class ServerRecords(
    public val id: String,
    public val role: ServerRole,
    public val calls: CallCounts = CallCounts(),
    public val capacity: Resources = Resources.NONE,
    /** Peak usage of all tasks of a worker together. */
    public val highestUse: Resources = Resources.NONE,
    /** Peak sum of the sizes of all tasks running on a worker. */
    public val highestGiven: Resources = Resources.NONE,
    public val tasks: List<TaskRecord> = emptyList(),
    public val slots: Int = 0,
    public val highestSlotsInUse: Int = 0,
    public val requests: List<RequestRecord> = emptyList(),
)
