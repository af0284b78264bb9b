/** The workers that the leader knows, by incarnation. Not thread-safe. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation

internal class WorkerPool {
    val speeds = SpeedEstimator()
    val accountUsage = AccountUsage()
    private val byIncarnation = LinkedHashMap<WorkerIncarnation, TrackedWorker>()

    val workers: Collection<TrackedWorker> get() = byIncarnation.values

    private val crashTimesMs = HashMap<String, Long>()

    /** Records that a worker at [address] crashed at the monotonic time [atMs]. */
    fun recordCrash(address: String, atMs: Long) {
        crashTimesMs[address] = atMs
    }

    /** The last crash at [address], or null. */
    fun lastCrashAtMs(address: String): Long? = crashTimesMs[address]

    fun find(incarnation: WorkerIncarnation): TrackedWorker? = byIncarnation[incarnation]

    fun add(entry: WorkerEntry): TrackedWorker = TrackedWorker(entry, accountUsage).also {
        byIncarnation[entry.incarnation] =
            it
    }

    fun remove(worker: TrackedWorker) {
        byIncarnation.remove(worker.incarnation)
        worker.removeAllStrays()
    }

    fun withId(workerId: String): List<TrackedWorker> = byIncarnation.values.filter { it.id == workerId }

    /** Another worker at the same address, which has taken the place of [worker]. */
    fun successorOf(worker: TrackedWorker): TrackedWorker? =
        byIncarnation.values.firstOrNull { it !== worker && it.entry.address == worker.entry.address && !it.isGone }

    /** Tasks with a run on some worker that is to be stopped: another run must wait for its end. */
    fun tasksWithStrayRuns(): Set<TaskName> {
        val tasks = HashSet<TaskName>()
        for (worker in byIncarnation.values) worker.strayRuns.mapTo(tasks, TaskRun::task)
        return tasks
    }

    /** Capacity of all workers that have answered and are not about to leave; any other entry may name no worker. */
    val capacity: Resources
        get() = byIncarnation.values.filter { it.isContacted && it.isListed && it.isDescribed && !it.entry.isDraining }
            .fold(Resources.NONE) { sum, worker -> sum + worker.entry.capacity }

    /** Workers of a service that take new tasks now. */
    fun accepting(service: String, nowMs: Long): List<TrackedWorker> =
        byIncarnation.values.filter { it.entry.service == service && it.accepts(nowMs) }
}
