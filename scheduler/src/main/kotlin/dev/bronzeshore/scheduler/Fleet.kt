/** All workers that the leader knows, by life. Not thread-safe. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerLife

private const val UNKNOWN_SLOWNESS = 1.0

internal class Fleet {
    private val byLife = LinkedHashMap<WorkerLife, TrackedWorker>()

    val workers: Collection<TrackedWorker> get() = byLife.values

    fun find(life: WorkerLife): TrackedWorker? = byLife[life]

    fun add(entry: WorkerEntry): TrackedWorker = TrackedWorker(entry).also { byLife[entry.life] = it }

    fun remove(worker: TrackedWorker) {
        byLife.remove(worker.life)
    }

    fun livesOf(workerId: String): List<TrackedWorker> = byLife.values.filter { it.id == workerId }

    /** Workers of a service that take new tasks now. */
    fun accepting(service: String, nowMs: Long): List<TrackedWorker> =
        byLife.values.filter { it.entry.service == service && it.accepts(nowMs) }

    /** Learned slowness of a worker, or else of the workers that carry the same labels for kind and size. */
    fun slownessOf(worker: TrackedWorker): Double =
        worker.speed.slowness ?: kindSlowness[kindOf(worker)] ?: typicalSlowness

    /** Slowness relative to a typical worker, because estimates as such may all be too low or too high. */
    fun relativeSlownessOf(worker: TrackedWorker): Double = slownessOf(worker) / typicalSlowness

    private var kindSlowness: Map<String, Double> = emptyMap()
    private var typicalSlowness = UNKNOWN_SLOWNESS

    /** Computes the averages by kind of machine again; called once a second. */
    fun refreshKinds() {
        kindSlowness = byLife.values.filter { it.speed.slowness != null }
            .groupBy { kindOf(it) }
            .mapValues { (_, workers) -> workers.mapNotNull { it.speed.slowness }.average() }
        val known = byLife.values.mapNotNull { it.speed.slowness }.sorted()
        if (known.isNotEmpty()) typicalSlowness = known[known.size / 2]
    }

    /** The rack label differs between machines of one kind; the kind label is the one without a rack number. */
    private fun kindOf(worker: TrackedWorker): String =
        worker.entry.labels.filter { label -> label.none { it == '-' } }.sorted().joinToString(",")
}
