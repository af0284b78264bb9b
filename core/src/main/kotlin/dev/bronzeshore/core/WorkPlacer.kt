/** The interface between job handling and placement decisions. */
package dev.bronzeshore.core

import arrow.core.Either

/** One accepted job as the placement decision sees it. */
public data class WorkItem(
    public val jobId: String,
    public val plan: String,
    public val kind: WorkKind,
    public val urgency: Urgency,
    public val size: Resources,
    public val parts: Int,
    public val allAtOnce: Boolean,
    public val acceptedAtMs: Long,
    /** Latest start, or null. */
    public val startBeforeMs: Long?,
    /** The caller's estimate of the run time; often far off. */
    public val declaredRunMs: Long,
    /** Parts that still need a worker; the others run or have ended. */
    public val pendingParts: List<Int> = (0 until parts).toList(),
)

/** Starts one part on a worker. */
public data class Placement(public val jobId: String, public val part: Int, public val workerId: String)

/** Stops or checkpoints one running part to make room; the part becomes pending again. */
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

/** A worker that may be given work. */
public data class PlacementWorker(
    public val workerId: String,
    public val rack: String,
    public val capacity: Resources,
    /** False while the worker is leaving, quarantined or has not reported since the last takeover. */
    public val accepting: Boolean,
)

/** Decides which worker runs which part. Called on the control thread only. */
public interface WorkPlacer {
    /** Adds or changes a worker; what runs there is kept. */
    public fun putWorker(worker: PlacementWorker)

    public fun removeWorker(workerId: String)

    /** Replaces the allowances of this data centre. */
    public fun setAllowances(allowances: List<Allowance>)

    /** Says why a job can never run here, without queueing it. */
    public fun check(item: WorkItem): Either<Fault, Unit>

    /** Queues a job, or says why it can never run here. */
    public fun submit(item: WorkItem): Either<Fault, Unit>

    /** Removes the pending parts of a job; running parts keep their room until they end. */
    public fun cancel(jobId: String)

    /** Records a part that already runs, found by a new owner in a worker's report. */
    public fun adopt(item: WorkItem, part: Int, workerId: String)

    /** Frees the room of a part that ended; [requeue] makes the part pending again. */
    public fun partEnded(jobId: String, part: Int, workerId: String, requeue: Boolean)

    /** Takes a usage report, which may be old, for a running part. */
    public fun reportUsage(jobId: String, part: Int, workerId: String, used: Resources)

    /** Decides at most [limit] placements. */
    public fun decide(limit: Int): Decisions

    /** Says what a queued job waits for, in one sentence, or null if it does not wait. */
    public fun waitReason(jobId: String): String?
}
