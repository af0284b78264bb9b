/** One life of a worker: what it holds, what it has said, and until when its runs may live without the leader. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** An end that waits until the progress of its job is stored. */
internal data class UnsavedEnd(val number: Long, val changeNumber: Long)

internal class TrackedWorker(var entry: WorkerEntry) {
    val incarnation: WorkerIncarnation = entry.incarnation
    val id: String get() = incarnation.workerId
    val clock = WorkerClock()

    /** Runs that the leader ordered or adopted. */
    private val placed = LinkedHashMap<TaskRun, Placement>()

    /** Runs found on the worker that must not be there, with the room that they take. */
    private val strays = HashMap<TaskRun, Resources>()
    private var used = Resources.NONE

    /** The worker has reported to this leader, so no order of a former leader can reach it any more. */
    var isContacted: Boolean = false
    var isListed: Boolean = true
    var isReachable: Boolean = true
        private set

    /** Jobs whose tasks may run here while the worker does not answer; null while it does. */
    var heldJobs: Set<String>? = null
        private set

    /** An order got no answer; nothing more starts here until the worker has been looked at. */
    var isSuspect: Boolean = false

    /** Looks at the worker at once. */
    var probe: suspend () -> Unit = {}

    /** The life has ended for certain: what ran there does not run any more. */
    var isGone: Boolean = false

    /** The roster in the store names this life; no task starts on a worker that a new leader would not ask. */
    var isOnRoster: Boolean = false
    var quarantinedUntilMs: Long = Long.MIN_VALUE

    /** Jobs whose tasks failed here since the last success. */
    val failedJobs = HashSet<String>()
    val speed = WorkerSpeed()
    var lastEndNumber: Long = 0
    val unsavedEnds = ArrayDeque<UnsavedEnd>()
    var acknowledgedEnd: Long = 0

    /** The worker has answered: tasks start again once the roster says that any job may be here. */
    fun markReachable() {
        if (isReachable) return
        isReachable = true
        heldJobs = null
        isOnRoster = false
    }

    /** The worker does not answer: nothing more starts here. */
    fun markUnreachable() {
        if (!isReachable) return
        isReachable = false
        if (isContacted) heldJobs = placed.keys.mapTo(HashSet()) { it.task.jobId } + strays.keys.map { it.task.jobId }
    }

    val placements: Collection<Placement> get() = placed.values
    val strayRuns: Set<TaskRun> get() = strays.keys
    val free: Resources get() = entry.capacity - used

    fun placement(run: TaskRun): Placement? = placed[run]

    fun add(placement: Placement) {
        placed[placement.run] = placement
        used += roomOf(placement)
    }

    fun remove(placement: Placement) {
        if (placed.remove(placement.run) != null) used -= roomOf(placement)
        if (placement.task.placement === placement) placement.task.placement = null
    }

    fun addStray(run: TaskRun, room: Resources) {
        if (strays.put(run, room) == null) used += room
    }

    fun removeStray(run: TaskRun) {
        strays.remove(run)?.let { used -= it }
    }

    fun accepts(nowMs: Long): Boolean = isContacted &&
        isListed &&
        isReachable &&
        isOnRoster &&
        !isGone &&
        !isSuspect &&
        !entry.isDraining &&
        quarantinedUntilMs <= nowMs

    /** Time from which ends up to a number may be acknowledged: everything before [savedChange] is stored. */
    fun acknowledge(savedChange: Long) {
        while (unsavedEnds.isNotEmpty() && unsavedEnds.first().changeNumber <= savedChange) {
            acknowledgedEnd = unsavedEnds.removeFirst().number
        }
    }

    private fun roomOf(placement: Placement) = placement.task.step.room
}

/** Room that one task of the step takes; tasks that use idle processors take memory only. */
internal val TrackedStep.room: Resources
    get() = if (description.usesIdleProcessors) description.size.copy(processorsMillicores = 0) else description.size
