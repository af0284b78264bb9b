/** All workers that the leader knows, by life. Not thread-safe. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation

internal class Fleet {
    val speeds = SpeedBook()
    private val byLife = LinkedHashMap<WorkerIncarnation, TrackedWorker>()

    val workers: Collection<TrackedWorker> get() = byLife.values

    fun find(incarnation: WorkerIncarnation): TrackedWorker? = byLife[incarnation]

    fun add(entry: WorkerEntry): TrackedWorker = TrackedWorker(entry).also { byLife[entry.incarnation] = it }

    fun remove(worker: TrackedWorker) {
        byLife.remove(worker.incarnation)
    }

    fun livesOf(workerId: String): List<TrackedWorker> = byLife.values.filter { it.id == workerId }

    /** Tasks with a run on some worker that is to be stopped: another run must wait for its end. */
    fun tasksWithStrayRuns(): Set<TaskName> = byLife.values.flatMapTo(HashSet()) { it.strayRuns.map(TaskRun::task) }

    /** Workers of a service that take new tasks now. */
    fun accepting(service: String, nowMs: Long): List<TrackedWorker> =
        byLife.values.filter { it.entry.service == service && it.accepts(nowMs) }
}
