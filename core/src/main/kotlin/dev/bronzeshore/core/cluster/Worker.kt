/** Workers as they register themselves, and the calls that they answer. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.Resources

/** One life of a worker: a worker that starts again under the same id is another life. */
public data class WorkerIncarnation(public val workerId: String, public val startedAtMs: Long)

/** What a worker says of itself. */
public data class WorkerEntry(
    public val incarnation: WorkerIncarnation,
    public val service: String,
    public val address: String,
    public val dataCentre: String,
    public val isDraining: Boolean,
    public val capacity: Resources,
    public val labels: Set<String>,
    /** Least time until a draining worker leaves, or null. */
    public val remainingMs: Long?,
)

/** A change in the list of workers; [entry] is null when the worker has left or its entry has lapsed. */
public data class WorkerChange(public val workerId: String, public val entry: WorkerEntry?)

/** One run of a task; run numbers of a task rise with each start. */
public data class TaskRun(public val task: TaskName, public val run: Long)

/** Starts a run unless the worker's clock has passed [validUntilWorkerMs] when the order arrives. */
public data class StartRequest(
    public val run: TaskRun,
    public val payload: String,
    public val validUntilWorkerMs: Long,
    public val fencingToken: Long,
    public val checkpoint: String?,
    public val ticket: String?,
)

/** How a worker answered a start order. */
public enum class StartResult {
    STARTED,

    /** The worker has seen a higher fence: another leader is in charge. */
    FENCED,

    /** A run with this or a higher number has ended or was stopped there. */
    SUPERSEDED,

    /** The order arrived after its validity. */
    TOO_LATE,
    NO_ROOM,
    BAD_TICKET,

    /** The worker refused and did nothing. */
    UNHEALTHY,

    /** The address is used by another life or worker. */
    OTHER_WORKER,
    INVALID,

    /** The worker could not be reached; the order was not sent. */
    NOT_SENT,

    /** No answer: the order may have been carried out, or may be later. */
    UNKNOWN,
}

/** The answer to a start order and the worker's clock, if it answered. */
public data class StartAnswer(public val result: StartResult, public val workerClockMs: Long? = null)

/** Renews the lease of all runs on a worker, acknowledges ends and asks for what runs and what has ended. */
public data class HoldRequest(
    public val fencingToken: Long,
    public val acknowledgedEnd: Long,
    public val leaseUntilWorkerMs: Long?,
    /** The answer waits this long for an end. */
    public val waitMs: Long,
)

/** A run in progress. */
public data class RunningTask(public val run: TaskRun, public val checkpoint: String?, public val percent: Int)

/** Why a run ended. */
public enum class EndKind { DONE, FAILED, STOPPED, LEASE_EXPIRED, GANG_BROKEN, GANG_INCOMPLETE }

/** An end of a run; [number] rises by one with each end of a worker's life. */
public data class TaskEnd(
    public val number: Long,
    public val run: TaskRun,
    public val kind: EndKind,
    public val checkpoint: String?,
)

/** How a worker answered a hold order. */
public sealed interface HoldAnswer {
    public data class Report(
        public val startedAtMs: Long?,
        public val workerClockMs: Long,
        public val running: List<RunningTask>,
        public val ends: List<TaskEnd>,
    ) : HoldAnswer

    /** Another leader with a higher fence is in charge. */
    public data object Fenced : HoldAnswer

    /** The address is used by another worker. */
    public data object OtherWorker : HoldAnswer

    public data class Unreachable(public val reason: String) : HoldAnswer
}

/** The calls that workers answer. */
public class WorkerCalls(
    public val start: suspend (WorkerEntry, StartRequest) -> StartAnswer,
    /** True if the worker confirmed that the run is stopped or will never start there. */
    public val stop: suspend (WorkerEntry, TaskRun, fencingToken: Long) -> Boolean,
    public val hold: suspend (WorkerEntry, HoldRequest) -> HoldAnswer,
)

/** Permission to start a step on a worker. */
public data class AdviceTicket(public val workerId: String, public val ticket: String)

/** Asks which of the workers may run a step; null when the service gave no answer. */
public typealias AdviceCall = suspend (StepName, workerIds: List<String>) -> List<AdviceTicket>?
