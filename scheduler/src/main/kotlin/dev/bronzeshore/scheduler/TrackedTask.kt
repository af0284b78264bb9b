/** One task of a step and the run that the leader has ordered of it. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun

internal class TrackedTask(val step: TrackedStep, val index: Int) {
    val name = TaskName(step.name.jobId, step.occurrence, step.number, index)
    var isDone: Boolean = false

    /** Numbers of the runs that failed; an end may be reported again to a later leader. */
    val failedRuns = HashSet<Long>()
    var lastRun: Long = 0
    var hasStarted: Boolean = false
    var checkpoint: String? = null

    /** The run that exists or may exist on a worker; a task has at most one. */
    var placement: Placement? = null

    /** Workers on which the task failed; others are tried first. */
    val failedOn = HashSet<String>()

    /** Not started again before this time of the steady clock. */
    var notBeforeMs: Long = Long.MIN_VALUE
}

internal enum class PlacementState {
    /** The start order is on its way, or its answer was lost. */
    ORDERED,
    RUNNING,

    /** The run is to be stopped. */
    STOPPING,
}

/** A run of a task on a worker, from the order until its end is known. */
internal class Placement(val task: TrackedTask, val worker: TrackedWorker, val run: TaskRun, val orderedAtMs: Long) {
    var state: PlacementState = PlacementState.ORDERED

    /** Ordered by a former leader, so its start is not known. */
    var isAdopted: Boolean = false
    private val startedFromCheckpoint = task.checkpoint != null

    /** The run's time tells how fast its worker is; members of a gang all go as fast as the slowest one. */
    val showsSpeed: Boolean
        get() = !isAdopted && !startedFromCheckpoint && task.step.description.let { !it.isGang && it.estimateMs > 0 }

    /** The worker's clock after which the start order has no effect any more; unbounded until the order is sent. */
    var validUntilWorkerMs: Long = Long.MAX_VALUE
        private set

    /** A start order that is valid until [workerMs] is about to be sent. */
    fun orderSent(workerMs: Long) {
        validUntilWorkerMs = if (validUntilWorkerMs == Long.MAX_VALUE) workerMs else maxOf(validUntilWorkerMs, workerMs)
    }

    /** Steady time at which the worker confirmed the start or the stop. */
    var confirmedAtMs: Long? = null
    var percent: Int = 0

    /** Steady time at which the progress last rose. */
    var progressAtMs: Long = orderedAtMs
}
