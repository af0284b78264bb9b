/** Follows which workers exist, runs a session with each, and ends those that are lost. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.RosterWorker
import dev.bronzeshore.core.cluster.WorkerChange
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation
import kotlinx.coroutines.launch

/** Error of the clocks and of the way of an order, added to the time after which a lease is over. */
private const val LEASE_MARGIN_MS = 300L

/** Slowest rate of a worker's clock, as a factor on the time that its leases can last. */
private const val SLOW_CLOCK_FACTOR = 1.03

internal class WorkerRegistry(
    private val context: TermContext,
    private val reports: ReportHandler,
    private val lifecycle: JobLifecycle,
    private val jobs: JobLookup,
) {
    private val startedAtMs = context.clock()

    /** Leases that a former leader granted are over after this steady time. */
    private val formerLeasesUntilMs =
        startedAtMs + (context.bounds.maxLeaseMs * SLOW_CLOCK_FACTOR).toLong() + context.bounds.stopGraceMs +
            LEASE_MARGIN_MS

    /** Former workers and the jobs that may run there; null stands for any job. */
    private val formerWorkers = HashMap<TrackedWorker, Set<String>?>()

    private val unseenWorkers: List<TrackedWorker>
        get() = if (context.clock() >= formerLeasesUntilMs) {
            emptyList()
        } else {
            formerWorkers.keys.filter { !it.isContacted && !it.isGone }
        }

    /** Workers on which runs of a former leader may exist that this leader has not seen. */
    val hasUnknownRuns: Boolean get() = unseenWorkers.isNotEmpty()

    /** True if such a run may be one of the job's. */
    fun mayHaveUnknownRuns(jobId: String): Boolean =
        unseenWorkers.any { worker -> formerWorkers[worker]?.contains(jobId) ?: true }

    /** Adds a worker on which a former leader may have started tasks. */
    fun addFormer(worker: RosterWorker) {
        val incarnation = WorkerIncarnation(worker.workerId, worker.startedAtMs)
        context.fleet.find(incarnation)?.let { known ->
            formerWorkers[known] = worker.heldJobs
            return
        }
        if (context.fleet.livesOf(incarnation.workerId).any { it.incarnation.startedAtMs > incarnation.startedAtMs }) return
        val entry = WorkerEntry(
            incarnation,
            worker.service,
            worker.address,
            dataCentre = "",
            isDraining = false,
            capacity = Resources.NONE,
            labels = emptySet(),
            remainingMs = null,
        )
        add(entry).apply {
            isListed = false
            formerWorkers[this] = worker.heldJobs
        }
    }

    /** Adds the workers that were listed when the term began; a former leader may have used each of them. */
    fun addListed(change: WorkerChange) {
        apply(change)
        change.entry?.let { context.fleet.find(it.incarnation) }?.let { formerWorkers[it] = null }
    }

    fun apply(change: WorkerChange) {
        val entry = change.entry
        if (entry == null) return context.fleet.livesOf(change.workerId).forEach { unlist(it) }
        for (older in context.fleet.livesOf(change.workerId)) {
            if (older.incarnation.startedAtMs > entry.incarnation.startedAtMs) return
            if (older.incarnation.startedAtMs < entry.incarnation.startedAtMs) end(older, "the worker has started again")
        }
        val known = context.fleet.find(entry.incarnation) ?: return add(entry).let { }
        if (known.entry.isDraining !=
            entry.isDraining
        ) {
            context.log.event("worker_draining", "worker" to known.id, "draining" to entry.isDraining)
        }
        known.entry = entry
        known.isListed = true
        context.wakePlanner()
    }

    private fun add(entry: WorkerEntry): TrackedWorker {
        val worker = context.fleet.add(entry)
        context.log.event(
            "worker_added",
            "worker" to worker.id,
            "started_at_ms" to worker.incarnation.startedAtMs,
            "address" to entry.address,
        )
        val session = WorkerSession(context, worker, reports, jobs, ::reborn)
        worker.probe = session::probe
        context.scope.launch { session.run() }
        context.wakeJournal()
        return worker
    }

    /** A draining worker that is no longer listed has left; another one may still run what it holds. */
    private fun unlist(worker: TrackedWorker) {
        worker.isListed = false
        context.log.event("worker_unlisted", "worker" to worker.id, "draining" to worker.entry.isDraining)
        if (worker.entry.isDraining) end(worker, "the worker has left")
    }

    private fun reborn(worker: TrackedWorker, startedAtMs: Long) {
        if (worker.isGone) return
        val entry = worker.entry.copy(incarnation = WorkerIncarnation(worker.id, startedAtMs), isDraining = false)
        end(worker, "the worker says that it has started again")
        if (context.fleet.find(entry.incarnation) == null) add(entry)
    }

    /** Ends workers whose leases are certainly over and that do not answer. */
    fun expireLeases() {
        val now = context.clock()
        for (worker in context.fleet.workers.toList().filter { !it.isReachable || !it.isContacted }) {
            val isOver = if (worker.isContacted) {
                worker.clock.isLeaseOver(now - context.bounds.stopGraceMs - LEASE_MARGIN_MS)
            } else {
                now >= formerLeasesUntilMs
            }
            if (!isOver) continue
            worker.placements.toList().forEach {
                lifecycle.lost(it, "its lease is over and its worker does not answer")
            }
            worker.strayRuns.toList().forEach { worker.removeStray(it) }
            if (!worker.isListed) end(worker, "the worker is not listed and does not answer")
        }
    }

    private fun end(worker: TrackedWorker, reason: String) {
        worker.isGone = true
        context.log.event("worker_gone", "worker" to worker.id, "reason" to reason, "runs" to worker.placements.size)
        worker.placements.toList().forEach { lifecycle.lost(it, reason) }
        context.fleet.remove(worker)
        context.wakeJournal()
        context.wakePlanner()
    }
}
