/** Workers as registered in the worker directory, and the requests that they serve. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.Resources

/** One incarnation of a worker: a worker that restarts under the same id is a new incarnation. */
public data class WorkerIncarnation(public val workerId: String, public val startedAtMs: Long)

/** The registration of a worker in the directory. */
public data class WorkerEntry(
    public val incarnation: WorkerIncarnation,
    public val service: String,
    public val address: String,
    public val dataCentre: String,
    public val isDraining: Boolean,
    public val capacity: Resources,
    public val labels: Set<String>,
    /** Minimum time until a draining worker leaves, or null. */
    public val remainingMs: Long?,
)

/** A change in the worker directory; [entry] is null when the worker has left or its entry has expired. */
public data class WorkerChange(
    public val workerId: String,
    public val entry: WorkerEntry?,
    /** There is an entry that cannot be decoded: the worker is not to be used, but it need not have left. */
    public val isMalformed: Boolean = false,
)

/** One run of a task; the run number of a task increases with each start. */
public data class TaskRun(public val task: TaskName, public val run: Long)

/** Request to start a run, unless the worker's clock has passed [validUntilWorkerMs] when the request arrives. */
public data class StartRequest(
    public val run: TaskRun,
    public val payload: String,
    public val validUntilWorkerMs: Long,
    public val fencingToken: Long,
    public val checkpoint: String?,
    public val ticket: String?,
)

/** Result of a start request. */
public enum class StartResult {
    STARTED,

    /** The worker has seen a higher fencing token: there is a newer leader. */
    FENCED,

    /** A run with this or a higher number has ended or was stopped on the worker. */
    SUPERSEDED,

    /** The request arrived after its validity had ended. */
    TOO_LATE,
    NO_ROOM,
    BAD_TICKET,

    /** The worker refused the request and did nothing. */
    UNHEALTHY,

    /** The address is used by another worker or incarnation. */
    OTHER_WORKER,
    INVALID,

    /** The worker could not be reached; the request was not sent. */
    NOT_SENT,

    /** No response: the run may have been started, or may be started later. */
    UNKNOWN,
}

/** Response to a start request, with the worker's clock if it responded. */
public data class StartAnswer(public val result: StartResult, public val workerClockMs: Long? = null)

/** A connection to a worker. It ends with the process that accepted it, so all its answers are of one incarnation. */
public data class WorkerConnection(public val number: Long)

/** Renews the lease of all runs on a worker, acknowledges ended runs and asks for a report of its runs. */
public data class HoldRequest(
    public val fencingToken: Long,
    public val acknowledgedEnd: Long,
    public val leaseUntilWorkerMs: Long?,
    /** Time for which the worker delays its response until a run ends (long polling). */
    public val waitMs: Long,
    /** The request may be sent on this connection only; null allows any. */
    public val connection: WorkerConnection? = null,
)

/** A run in progress. */
public data class RunningTask(public val run: TaskRun, public val checkpoint: String?, public val percent: Int)

/** Why a run ended. */
public enum class EndKind { DONE, FAILED, STOPPED, LEASE_EXPIRED, GANG_BROKEN, GANG_INCOMPLETE }

/** The end of a run; [number] increases by one with each run that ends in an incarnation of a worker. */
public data class TaskEnd(
    public val number: Long,
    public val run: TaskRun,
    public val kind: EndKind,
    public val checkpoint: String?,
)

/** Response to a hold request. */
public sealed interface HoldAnswer {
    public data class Report(
        public val startedAtMs: Long,
        public val workerClockMs: Long,
        public val running: List<RunningTask>,
        public val ends: List<TaskEnd>,
        /** False if some entries could not be decoded; a run that is not listed may then be running all the same. */
        public val isWhole: Boolean = true,
        /** The connection on which the report came; null if it takes no further request. */
        public val connection: WorkerConnection? = null,
    ) : HoldAnswer

    /** The worker has seen a higher fencing token: there is a newer leader. */
    public data object Fenced : HoldAnswer

    /** The address is used by another worker. */
    public data object OtherWorker : HoldAnswer

    /** The connection that the request requires is gone; the request was not sent. */
    public data object Disconnected : HoldAnswer

    /** No answer; with [isRefused], no process listens at the worker's address. */
    public data class Unreachable(public val reason: String, public val isRefused: Boolean = false) : HoldAnswer
}

/** Requests that workers serve. */
public class WorkerCalls(
    public val start: suspend (WorkerEntry, StartRequest) -> StartAnswer,
    /** True if the worker confirmed that the run is stopped or will never start on it. */
    public val stop: suspend (WorkerEntry, TaskRun, fencingToken: Long) -> Boolean,
    public val hold: suspend (WorkerEntry, HoldRequest) -> HoldAnswer,
)

/** Permission of the advice service to start a step on a worker. */
public data class AdviceTicket(public val workerId: String, public val ticket: String)

/** Asks the advice service which of the workers may run a step; null if it did not respond. */
public typealias AdviceCall = suspend (StepName, workerIds: List<String>) -> List<AdviceTicket>?
