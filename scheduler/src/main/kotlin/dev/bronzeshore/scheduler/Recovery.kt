/**
 * Restores the leader's state at the start of a term.
 *
 * Starts are not stored, so a task may already run on any worker that a former leader used. A task starts only once
 * each of these workers has listed all its runs and ends under this leader's fencing token, or their leases have
 * expired. Jobs that were stored after the takeover need not wait: a former leader starts only jobs for which its term
 * has been confirmed.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.KeptEndRows
import dev.bronzeshore.core.cluster.KeptEnds
import dev.bronzeshore.core.cluster.ProgressPart
import dev.bronzeshore.core.cluster.ProgressPartRows
import dev.bronzeshore.core.cluster.RosterWorker
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.WorkerRosterRow
import dev.bronzeshore.core.cluster.WorkerSpeedsRow
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer

private const val RETRY_MS = 100L

/** Versions from which the change feeds continue; later changes of the workers were made after [workersReadAt]. */
internal class LoadedVersions(val intake: Long, val workers: Long, val workersReadAt: FeedTime)

internal class Recovery(
    private val context: TermContext,
    private val dependencies: LeaderDependencies,
    private val lifecycle: JobLifecycle,
    private val registry: WorkerRegistry,
    private val journal: ProgressJournal,
) {
    private val reader = TableReader(dependencies.store)
    private var isComplete = false

    /** Reads what former leaders stored and starts the worker sessions. */
    suspend fun load(): LoadedVersions {
        val startedAtMs = context.clock()
        val tables = listOf(dependencies.workers.table, Tables.LEADER_STATE, Tables.PROGRESS)
        val (contents, intake) = coroutineScope {
            val jobs = async { context.fences.readJobs(reader) }
            val others = tables.map { table -> async { table to retryUntilRead { reader.readTable(table) } } }
            others.awaitAll().toMap() to jobs.await()
        }
        val workers = contents.getValue(dependencies.workers.table)
        val notes = contents.getValue(Tables.LEADER_STATE)
        val progress = contents.getValue(Tables.PROGRESS)
        val rosterRows = readRoster(notes)
        progress.rows.forEach { restoreProgress(it) }
        notes.rows.forEach { restoreKeptEnds(it) }
        intake.rows.forEach { restoreEnd(it) }
        // Ended jobs are not decoded: after some minutes they are most of the table.
        intake.rows.forEach { lifecycle.noteRow(it.id) }
        intake.rows.filterNot { context.jobRegistry.isEnded(it.id.key) }.forEach { applyIntakeRow(it, lifecycle) }
        workers.rows.map { dependencies.workers.decode(it) }.forEach { registry.addListed(it) }
        journal.adopt(rosterRows, notes.rows)
        rosterRows.values.merged().forEach { registry.addFormer(it) }
        registry.onLoaded()
        notes.rows.firstOrNull { it.id == Tables.SPEEDS_ROW }?.let { restoreSpeeds(it) }
        context.log.event(
            "recovery_loaded",
            "term" to context.term,
            "jobs" to intake.rows.size,
            "open" to context.jobRegistry.openJobs.size,
            "workers" to context.workerPool.workers.size,
            "duration_ms" to context.clock() - startedAtMs,
        )
        return LoadedVersions(intake.version, workers.version, FeedTime(startedAtMs, workers.storeMs))
    }

    fun mayStart(job: TrackedJob): Boolean {
        if (isComplete || context.confirmation.isNewerThanTerm(job)) return true
        if (registry.former.hasUnknownRuns) return !registry.former.mayHaveUnknownRuns(job.id)
        isComplete = true
        context.log.event("recovery_complete", "term" to context.term)
        return true
    }

    /** The roster rows by their numbers; null for a row that cannot be decoded. */
    private fun readRoster(notes: TableContent): Map<Int, List<RosterWorker>?> {
        val rows = notes.rows.mapNotNull { row -> Tables.rosterNumberOf(row.id)?.let { it to row } }.toMap()
        return rows.mapValues { (_, row) -> row.decoded(WorkerRosterRow.serializer())?.workers }
            .also { if (null in it.values) registry.former.isRosterUnknown = true }
    }

    /** A job whose progress cannot be decoded is set aside: to start it anew could repeat what has run. */
    private fun restoreProgress(row: StoredRow) {
        ProgressPartRows.jobOf(row.id.key)?.let { return restorePart(row, it) }
        val stored = row.decoded(JobProgress.serializer()) ?: return context.jobRegistry.setAside(row.id.key)
        if (stored.phase.isEnded) {
            context.jobRegistry.recordEnded(row.id.key, stored.endedAtMs ?: context.wallClock())
        } else {
            context.jobRegistry.recordProgress(row.id.key, stored)
        }
    }

    private fun restorePart(row: StoredRow, jobId: String) {
        val part = row.decoded(ProgressPart.serializer()) ?: return context.jobRegistry.setAside(jobId)
        context.jobRegistry.recordPart(jobId, row.id, part)
    }

    /** Restores the end of a job that a former leader stored while its own partition did not respond. */
    private fun restoreEnd(row: StoredRow) {
        val jobId = IntakeRows.endedJobOf(row.id.key) ?: return
        val stored = row.decoded(JobProgress.serializer()) ?: return context.jobRegistry.setAside(jobId)
        context.jobRegistry.recordEnded(jobId, stored.endedAtMs ?: context.wallClock())
    }

    /** Restores ends that were reported while the rows of their job could not be decoded. */
    private fun restoreKeptEnds(row: StoredRow) {
        val jobId = KeptEndRows.jobOf(row.id.key) ?: return
        val stored = row.decoded(KeptEnds.serializer()) ?: return context.jobRegistry.setAside(jobId)
        context.keptEnds.restore(jobId, row.id, stored.ends)
    }

    private fun <T> StoredRow.decoded(serializer: KSerializer<T>): T? = value?.let { bytes ->
        decodeRow(serializer, bytes).onLeft { context.reportMalformedRow(id, it) }.getOrNull()
    }

    private fun restoreSpeeds(row: StoredRow) {
        val stored = row.decoded(WorkerSpeedsRow.serializer())?.logSlowness ?: return
        context.workerPool.workers.forEach { worker -> stored[worker.id]?.let { worker.speed.restore(it) } }
    }

    private suspend fun retryUntilRead(read: suspend () -> TableContent?): TableContent {
        while (true) {
            read()?.let { return it }
            delay(RETRY_MS)
        }
    }
}
