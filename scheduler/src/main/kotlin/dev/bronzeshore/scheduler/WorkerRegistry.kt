/** Tracks which workers exist, runs a session with each, and removes those that are lost. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.RosterWorker
import dev.bronzeshore.core.cluster.WorkerChange
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation

/** An entry expires after three intervals without a heartbeat; half of one is the margin for late heartbeats. */
private const val HEARTBEATS_BEFORE_EXPIRY = 2.5

/** A worker that leaves removes its entry and ends within this time. */
private const val DEPARTURE_MS = 500L

/** Entries that expired in an outage of the store are back about two seconds after its end if their workers live. */
private const val LISTING_GRACE_MS = 2_500L

internal class WorkerRegistry(
    private val context: TermContext,
    private val reports: ReportHandler,
    private val lifecycle: JobLifecycle,
    private val jobLookup: JobLookup,
    private val crashes: CrashAttribution,
) {
    private var directoryFailedAtMs = Long.MIN_VALUE / 2

    private val leases = LeaseExpiry(context)

    /** What former leaders may have started on the workers. */
    val former = FormerRuns(context, leases)

    /** All workers that a former leader may have used are known and polled from now on. */
    fun onLoaded() = leases.onLoaded()

    /** Adds a worker on which a former leader may have started tasks. */
    fun addFormer(worker: RosterWorker) {
        val incarnation = WorkerIncarnation(worker.workerId, worker.startedAtMs)
        context.workerPool.find(incarnation)?.let { known ->
            former.add(known, worker.heldJobs)
            known.formerTrialJob = worker.trialJob
            return
        }
        if (context.workerPool.withId(worker.workerId).any { it.incarnation.startedAtMs > worker.startedAtMs }) return
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
            markUndescribed()
            formerTrialJob = worker.trialJob
            former.add(this, worker.heldJobs)
        }
    }

    /** Adds a worker that was listed when the term began; a former leader may have started any job on it. */
    fun addListed(change: WorkerChange) {
        apply(change, read = null)
        change.entry?.let { context.workerPool.find(it.incarnation) }?.let { former.add(it, heldJobs = null) }
    }

    /** Applies a change of the directory from the page [read]; null if it is not known when the change was made. */
    fun apply(change: WorkerChange, read: FeedRead?) {
        val entry = change.entry
        val others = context.workerPool.withId(change.workerId)
        if (entry == null) return others.forEach { unlist(it, change.isMalformed, read) }
        if (others.any { it.incarnation.startedAtMs > entry.incarnation.startedAtMs }) return
        val known = context.workerPool.find(entry.incarnation)
        val current = known ?: add(entry)
        others.filter { it !== current }.forEach { replace(it, current, "the worker restarted") }
        current.entryWrittenAfter = read?.writtenAfter
        if (known == null) return
        if (known.entry.isDraining != entry.isDraining) {
            context.log.event("worker_draining", "worker" to known.id, "draining" to entry.isDraining)
        }
        known.update(entry)
        known.isListed = true
        known.hasRemovedEntry = false
        known.unlistedSinceMs = null
        known.goneIfSilentAtMs = null
        if (entry.isDraining) context.wakeJournal()
        context.wakePlanner()
    }

    /** The entries of all workers but those in [directory], which is the whole one, have been removed. */
    fun unlistOthers(directory: List<WorkerChange>) {
        val present = directory.mapTo(HashSet()) { it.workerId }
        val others = context.workerPool.workers.filter { it.isListed && it.id !in present }
        others.forEach { unlist(it, isMalformed = false, read = null) }
    }

    private fun add(entry: WorkerEntry): TrackedWorker {
        val worker = context.workerPool.add(entry)
        context.log.event(
            "worker_added",
            "worker" to worker.id,
            "started_at_ms" to worker.incarnation.startedAtMs,
            "address" to entry.address,
        )
        val session = WorkerSession(context, worker, reports, jobLookup, ::handleSuccessor, ::removeIfDeparted)
        worker.probe = session::probe
        context.launchGuarded("worker session") { session.run() }
        context.wakeJournal()
        return worker
    }

    /** The directory could not be followed; entries may have expired although their workers are alive. */
    fun onDirectoryFailure() {
        directoryFailedAtMs = context.clock()
    }

    /**
     * A missing entry does not prove that its worker has ended: the entry also expires if the worker cannot reach the
     * store, and the worker goes on with its tasks.
     */
    private fun unlist(worker: TrackedWorker, isMalformed: Boolean, read: FeedRead?) {
        val now = context.clock()
        val entryAgeMs = read?.ageMs(worker.entryWrittenAfter)
        if (worker.isListed && !isMalformed) worker.hasRemovedEntry = isRemovedEarly(entryAgeMs)
        worker.isListed = false
        worker.unlistedSinceMs = worker.unlistedSinceMs ?: now
        val isInOutage = now - directoryFailedAtMs < LISTING_GRACE_MS
        if (isInOutage && !isMalformed) worker.goneIfSilentAtMs = now + LISTING_GRACE_MS
        context.log.event(
            "worker_unlisted",
            "worker" to worker.id,
            "draining" to worker.entry.isDraining,
            "malformed" to isMalformed.takeIf { it },
            "entry_age_ms" to entryAgeMs,
            "removed_early" to worker.hasRemovedEntry,
        )
        removeIfDeparted(worker)
    }

    /** The entry cannot have expired: its last heartbeat is too recent, so that the worker has removed it. */
    private fun isRemovedEarly(entryAgeMs: Long?): Boolean {
        val heartbeatMs = context.bounds.workerHeartbeatMs ?: return false
        return entryAgeMs != null && entryAgeMs < HEARTBEATS_BEFORE_EXPIRY * heartbeatMs
    }

    /**
     * Removes a draining worker whose entry was removed by its departure, if no process listens at its address, or if
     * that happened in an outage of the store and it does not answer after the grace. An entry that may have expired
     * proves nothing, nor does an address that cannot be reached: the runs wait for the end of their leases.
     */
    private fun removeIfDeparted(worker: TrackedWorker) {
        if (worker.isListed || !worker.entry.isDraining || !worker.hasRemovedEntry) return
        val isSilent = !worker.isReachable && worker.goneIfSilentAtMs?.let { context.clock() >= it } ?: false
        if (isRefusingSinceDeparture(worker) || isSilent) markGone(worker, "the worker has left")
    }

    /** The last attempt to connect was refused, and made when a worker that has left had ended. */
    private fun isRefusingSinceDeparture(worker: TrackedWorker): Boolean {
        val refusedAtMs = worker.refusedAtMs ?: return false
        return worker.unlistedSinceMs?.let { refusedAtMs >= it + DEPARTURE_MS } ?: false
    }

    /** Another incarnation answers at the worker's address; [startedAtMs] is known if it has the same id. */
    private fun handleSuccessor(worker: TrackedWorker, startedAtMs: Long?) {
        if (worker.isGone) return
        if (startedAtMs == null) return markGone(worker, "another worker answers at its address")
        val incarnation = WorkerIncarnation(worker.id, startedAtMs)
        val successor = context.workerPool.find(incarnation) ?: addUndescribed(worker.entry, incarnation)
        replace(worker, successor, "the worker reported a later start time")
    }

    /** Adds the next [incarnation] of a worker, of which nothing starts a task before its own entry has come. */
    private fun addUndescribed(former: WorkerEntry, incarnation: WorkerIncarnation): TrackedWorker {
        val entry = former.copy(
            incarnation = incarnation,
            isDraining = false,
            capacity = Resources.NONE,
            labels = emptySet(),
            remainingMs = null,
        )
        return add(entry).apply { markUndescribed() }
    }

    /**
     * [predecessor] has ended, and [successor] has its id. Requests name a worker by its id alone, so [successor] may
     * have carried out starts for [predecessor], those of this leader and those of former leaders: these runs are not
     * lost.
     */
    private fun replace(predecessor: TrackedWorker, successor: TrackedWorker, reason: String) {
        former.moveTo(successor, predecessor)
        markGone(predecessor, reason, successor)
    }

    /** Gives up the runs on unreachable workers whose leases have certainly expired, and removes unlisted workers. */
    fun expireLeases() {
        val now = context.clock()
        context.workerPool.workers.toList().forEach { removeIfDeparted(it) }
        for (worker in context.workerPool.workers.toList().filter { !it.isReachable || !it.isContacted }) {
            val isOver = if (worker.isContacted) leases.isOver(worker, now) else leases.areFormerOver(now)
            if (!isOver) continue
            if (worker.recordIdleUntilAnswer()) {
                context.log.event("former_leases_over", "worker" to worker.id, "listed" to worker.isListed)
                context.wakeJournal()
            }
            val (open, expired) = worker.placements.partition { !it.isReported && !leases.isOver(it, now) }
            if (!worker.isListed && open.isEmpty()) {
                markGone(worker, "the worker is not listed and does not answer")
                continue
            }
            expired.forEach { lifecycle.lost(it, "its lease has expired and its worker does not answer") }
            worker.removeAllStrays()
        }
        if (context.confirmation.isExpiryOpen) context.wakeJournal()
    }

    /** Gives up the runs of [worker], but for those that its [successor] under the same id may have carried out. */
    private fun markGone(worker: TrackedWorker, reason: String, successor: TrackedWorker? = null) {
        worker.isGone = true
        context.log.event(
            "worker_gone",
            "worker" to worker.id,
            "address" to worker.entry.address,
            "reason" to reason,
            "draining" to worker.entry.isDraining,
            "listed" to worker.isListed,
            "reported_ms_ago" to worker.reportedAtMs?.let { context.clock() - it },
            "unreachable_for_ms" to worker.unreachableSinceMs?.let { context.clock() - it },
            "successor" to context.workerPool.successorOf(worker)?.id,
            "runs" to worker.placements.size,
        )
        context.metrics.losses.workerGone(worker.entry.isDraining)
        if (!worker.entry.isDraining && worker.isContacted) crashes.handleCrash(worker)
        worker.formerTrialJob?.let { if (!worker.isContacted) crashes.handleFormerTrial(it) }
        successor?.let { worker.unreportedPlacements.forEach { run -> lifecycle.moveTo(it, run) } }
        worker.placements.toList().forEach { lifecycle.lost(it, reason) }
        context.workerPool.remove(worker)
        context.wakeJournal()
        context.wakePlanner()
    }
}
