/** State of one task of a step, and the placement of its current run. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun

/** A worker that answers this long after the start of a run has survived the start. */
internal const val SURVIVAL_MS = 200L

internal class TrackedTask(val step: TrackedStep, val index: Int) {
    val name = TaskName(step.name.jobId, step.occurrence, step.number, index)
    var isDone: Boolean = false

    /** Numbers of the failed runs; a set, because an end may be reported again to a later leader. */
    val failedRuns = HashSet<Long>()
    val crashes = TaskCrashes()
    var lastRun: Long = 0
    var hasStarted: Boolean = false
    var checkpoint: String? = null

    /** The run that exists or may exist on a worker; a task has at most one. */
    var placement: Placement? = null

    /** Ids of workers on which the task failed; others are preferred. */
    val failedOn = HashSet<String>()

    /** Monotonic time before which the task is not started again. */
    var notBeforeMs: Long = Long.MIN_VALUE
}

internal enum class PlacementState {
    /** The start request is in flight, or its response was lost. */
    ORDERED,
    RUNNING,

    /** A stop was requested; the end of the run is not known yet. */
    STOPPING,
}

/** A run of a task on a worker, from the start request until its end is known. */
internal class Placement(val task: TrackedTask, val worker: TrackedWorker, val run: TaskRun, val orderedAtMs: Long) {
    var state: PlacementState = PlacementState.ORDERED

    /** A report of this incarnation has listed the run; the answer to a start does not tell the incarnation. */
    var isReported: Boolean = false

    /**
     * Monotonic time at which the worker was found to have restarted after it had been sent the start; null if it has
     * not. The start may expire late on this incarnation, whose clock began anew.
     */
    var movedAtMs: Long? = null
    val isMoved: Boolean get() = movedAtMs != null

    /** Latest monotonic time at which the start may have been sent. */
    val sentUntilMs: Long get() = movedAtMs ?: orderedAtMs

    /** Started by a former leader, so its start time is not known. */
    var isAdopted: Boolean = false
    private val startedFromCheckpoint = task.checkpoint != null

    /** The run's duration shows how fast its worker is; members of a gang are all as fast as the slowest one. */
    val isSpeedSample: Boolean
        get() = !isAdopted && !startedFromCheckpoint && task.step.description.let { !it.isGang && it.estimateMs > 0 }

    /** Time of the worker's clock after which it refuses the start request; unbounded until a request is sent. */
    var validUntilWorkerMs: Long = Long.MAX_VALUE
        private set

    /** Records that a start request which is valid until [workerMs] is about to be sent. */
    fun extendValidity(workerMs: Long) {
        validUntilWorkerMs = if (validUntilWorkerMs == Long.MAX_VALUE) workerMs else maxOf(validUntilWorkerMs, workerMs)
    }

    /** Monotonic time at which the worker confirmed the start or the stop. */
    var confirmedAtMs: Long? = null

    /** The worker has said that the run has begun. */
    val isConfirmed: Boolean get() = isReported || startConfirmedWorkerMs != null

    /** Time of the worker's clock at which it first confirmed the run. */
    private var startConfirmedWorkerMs: Long? = null

    /** Time for which the worker has certainly lived after it confirmed the start; null without a confirmation. */
    val provenMs: Long? get() = startConfirmedWorkerMs?.let { (worker.lastAnswerWorkerMs - it).coerceAtLeast(0) }

    /** The run has not crashed its worker at its start. */
    val isProven: Boolean get() = (provenMs ?: 0) >= SURVIVAL_MS

    /** The worker has confirmed the run at [nowMs], which is [workerMs] on its clock if it said so. */
    fun confirmStart(nowMs: Long, workerMs: Long?) {
        state = PlacementState.RUNNING
        confirmedAtMs = nowMs
        workerMs?.let { recordRunning(it) }
    }

    /** The worker has the run at [workerMs] on its clock. */
    fun recordRunning(workerMs: Long) {
        if (startConfirmedWorkerMs == null) startConfirmedWorkerMs = workerMs
    }

    /** What the worker's reports say about the progress of the run. */
    val progress = RunProgress()
}
