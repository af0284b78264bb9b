/** Interface between job management and placement. */
package dev.bronzeshore.core

import arrow.core.Either

/** An accepted job as input to placement decisions. */
public data class WorkItem(
    public val jobId: String,
    public val plan: String,
    public val kind: WorkKind,
    public val urgency: Urgency,
    public val size: Resources,
    public val parts: Int,
    public val allAtOnce: Boolean,
    public val acceptedAtMs: Long,
    /** Latest start time, or null for no limit. */
    public val startBeforeMs: Long?,
    /** The caller's estimate of the run time, often inaccurate. */
    public val declaredRunMs: Long,
    /** Parts that still need a worker; the others run or have ended. */
    public val pendingParts: List<Int> = (0 until parts).toList(),
)

/** Starts one part on a worker. */
public data class Placement(public val jobId: String, public val part: Int, public val workerId: String)

/** Stops or checkpoints one running part to free its resources; the part becomes pending again. */
public data class Preemption(
    public val jobId: String,
    public val part: Int,
    public val workerId: String,
    public val action: TaskAction,
)

/** Ends a queued job without running it. */
public data class Refusal(public val jobId: String, public val fault: Fault)

/** The result of one round of decisions. */
public data class Decisions(
    public val placements: List<Placement> = emptyList(),
    public val preemptions: List<Preemption> = emptyList(),
    public val refusals: List<Refusal> = emptyList(),
)

/** A worker that work can be placed on. */
public data class PlacementWorker(
    public val workerId: String,
    public val rack: String,
    public val capacity: Resources,
    /** False while the worker is leaving, quarantined or has not reported since the last takeover. */
    public val accepting: Boolean,
)

/** Decides which worker runs which part. Called on the control thread only. */
public interface WorkPlacer {
    /** Adds or updates a worker; the parts that run there are kept. */
    public fun putWorker(worker: PlacementWorker)

    public fun removeWorker(workerId: String)

    /** Replaces the allowances of this data centre. */
    public fun setAllowances(allowances: List<Allowance>)

    /** Returns a fault if the job can never run in this data centre; does not queue it. */
    public fun check(item: WorkItem): Either<Fault, Unit>

    /** Queues a job, or returns a fault if it can never run in this data centre. */
    public fun submit(item: WorkItem): Either<Fault, Unit>

    /** Removes the pending parts of a job; running parts keep their resources until they end. */
    public fun cancel(jobId: String)

    /** Records a part that is already running, which a new owner found in a worker's report. */
    public fun adopt(item: WorkItem, part: Int, workerId: String)

    /** Frees the resources of a part that ended; [requeue] makes the part pending again. */
    public fun partEnded(jobId: String, part: Int, workerId: String, requeue: Boolean)

    /** Records a usage report, which may be stale, for a running part. */
    public fun reportUsage(jobId: String, part: Int, workerId: String, used: Resources)

    /** Makes at most [limit] placements. */
    public fun decide(limit: Int): Decisions

    /** Returns a sentence that says what a queued job waits for, or null if it does not wait. */
    public fun waitReason(jobId: String): String?
}
