/** The owner's view of one job that has not ended. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.PartResult
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.TaskId
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkKind

/** State of one part. */
internal enum class PartState {
    /** Not in any report since the takeover; it may still run on a worker that has not reported. */
    UNACCOUNTED,

    /** In the placer's queue. */
    PENDING,

    /** A start command was sent and the worker has not confirmed it. */
    STARTING,

    RUNNING,

    /** On no worker, and waits until the other parts have stopped: for a restart of the gang or a cancellation. */
    HELD,

    ENDED,
}

/** One part of a job; [startBeforeMs] and [leaseUntilMs] are the deadlines last sent to its worker. */
internal class TrackedPart(val index: Int) {
    var state: PartState = PartState.PENDING
    var workerId: String = ""
    var attempt: Long = 0
    var startBeforeMs: Long = 0
    var startedAtMs: Long = 0
    var leaseUntilMs: Long = 0
    var failures: Int = 0

    /** True once any attempt may have run; never reset, so that the job is never reported as not run. */
    var mayHaveRun: Boolean = false
    var result: PartResult? = null

    val isOnWorker: Boolean get() = state == PartState.STARTING || state == PartState.RUNNING
}

internal class TrackedJob(var record: JobRecord, val kind: WorkKind) {
    val parts: List<TrackedPart> = List(record.submission.parts) { TrackedPart(it) }
    var isCancelled: Boolean = false

    /** True once the final record is appended to the journal; the job no longer changes. */
    var isEnding: Boolean = false
    var isRestarting: Boolean = false

    val jobId: String get() = record.jobId
    val mayHaveRun: Boolean get() = parts.any { it.mayHaveRun }
    val startsTogether: Boolean get() = record.submission.allAtOnce || kind.policy == Policy.GANG

    fun taskId(part: TrackedPart): TaskId = TaskId(jobId, part.index, part.attempt)

    /** The latest start time applies only until a part may have run; a part that is requeued later has none. */
    fun toWorkItem(): WorkItem = record.toWorkItem(kind).copy(
        startBeforeMs = record.submission.startBeforeMs.takeUnless { mayHaveRun },
        pendingParts = parts.filter { it.state == PartState.PENDING }.map { it.index },
    )
}

internal fun JobRecord.toWorkItem(kind: WorkKind): WorkItem = WorkItem(
    jobId = jobId,
    plan = plan,
    kind = kind,
    urgency = submission.urgency,
    size = submission.size,
    parts = submission.parts,
    allAtOnce = submission.allAtOnce || kind.policy == Policy.GANG,
    acceptedAtMs = acceptedAtMs,
    startBeforeMs = submission.startBeforeMs,
    declaredRunMs = submission.declaredRunMs,
)
