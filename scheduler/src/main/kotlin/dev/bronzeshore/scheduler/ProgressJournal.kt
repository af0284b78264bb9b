/**
 * Stores the progress of jobs in batches, each in one transaction that requires this process to be the leader still.
 *
 * A run's end is acknowledged to its worker, and a job is shown as ended, only after its row is stored. A write whose
 * response was lost may take effect seconds later. Therefore each write requires the [JournalFence], so that an older
 * write cannot overwrite the rows of a newer one. A row that the store refuses for what it holds is left out, so that
 * the others are stored; ends of runs of its job stay unacknowledged.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.RosterWorker
import dev.bronzeshore.core.cluster.RowCondition
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StoreOutcome
import dev.bronzeshore.core.cluster.StoreTransaction
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.TransactionSize
import dev.bronzeshore.core.cluster.WaitingCounts
import dev.bronzeshore.core.cluster.WorkerSpeedsRow
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Entries of a transaction for its conditions and the rows that are written along with the jobs. */
private const val RESERVED_ENTRIES = 10

/** Shortest time between two writes: each write is a billed call. It delays a job's end by at most this time. */
private const val MIN_INTERVAL_MS = 15L

/** The counts of waiting jobs may be two seconds old when a caller sees them. */
private const val COUNTS_PERIOD_MS = 500L
private const val SPEEDS_PERIOD_MS = 2_000L
private const val RETRY_MS = 100L

internal class ProgressJournal(private val context: TermContext) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var savedCounts: Map<String, Int>? = null
    private var countsAtMs = Long.MIN_VALUE / 2
    private var speedsAtMs = context.clock()
    private val rosterRows = RosterRows()
    private val fence = JournalFence()
    private val refusals = RowRefusals { reportRefused(it) }

    /** Monotonic time since which a write is attempted without success; null if none is. */
    var unconfirmedSinceMs: Long? = null
        private set

    fun wake() {
        wake.trySend(Unit)
    }

    /** Continues from the rows that a former leader stored, among them those of its [roster]. */
    fun adopt(roster: Map<Int, List<RosterWorker>?>, rows: List<StoredRow>) {
        rosterRows.adopt(roster)
        fence.adopt(rows)
    }

    suspend fun run() {
        while (true) {
            withTimeoutOrNull(COUNTS_PERIOD_MS) { wake.receive() }
            while (!flush()) delay(RETRY_MS)
            delay(MIN_INTERVAL_MS)
        }
    }

    /** Stores the next batch of changes; false if it has to be repeated after a pause. */
    suspend fun flush(): Boolean {
        if (refusals.expire(context.clock())) context.changes.retryHeld()
        return nextBatch()?.let { store(it) } ?: true
    }

    /** Takes what is to be written next; null if nothing is. */
    private fun nextBatch(): JournalBatch? {
        val size = TransactionSize(RESERVED_ENTRIES)
        val roster = changedRoster()
            .filter { row -> row.toWrite().let { refusals.mayWrite(it) && size.add(it) } }
            .take(refusals.maxRows)
        val roomLeft = refusals.maxRows - roster.size
        val counts = dueCounts()?.takeIf { roomLeft > 0 && refusals.mayWrite(waitingRow(it)) }
        val hasRows = !context.changes.isEmpty || counts != null || roster.isNotEmpty()
        if (!hasRows && !context.confirmation.isWanted) return null
        val maxChanges = if (counts == null) roomLeft else roomLeft - 1
        val changes = context.changes.takeBatch(size, maxChanges, refusals::mayWrite)
        val speeds = dueSpeeds()?.takeIf { changes.rows.size < maxChanges && refusals.mayWrite(it) }
        val others = roster.map { it.toWrite() } + listOfNotNull(counts?.let { waitingRow(it) }, speeds)
        return JournalBatch(changes, roster, counts, changes.writes + others)
    }

    private suspend fun store(batch: JournalBatch): Boolean {
        val heartbeat = context.renewal.dueHeartbeat()
        val fenceChange = fence.dueChange
        val writes = batch.writes + listOfNotNull(heartbeat, fenceChange, RowWrite(Tables.JOURNAL_ROW, ByteArray(0)))
        val phases = batch.changes.jobs.associateWith { it.phase }
        val startedAtMs = context.clock()
        if (unconfirmedSinceMs == null) unconfirmedSinceMs = startedAtMs
        val conditions = listOf(RowCondition(Tables.TERM_ROW, context.termRowVersion), fence.condition)
        val outcome = context.store.transact(StoreTransaction(conditions = conditions, writes = writes))
        context.metrics.journal.write(outcome::class.simpleName.orEmpty(), context.clock() - startedAtMs)
        fence.record(outcome, fenceChange)
        if (outcome !is StoreOutcome.Applied) return handleFailure(batch, outcome)
        recordConfirmation(startedAtMs)
        refusals.recordApplied()
        if (heartbeat != null) context.renewal.recordRenewal(startedAtMs)
        markBatchSaved(batch, phases)
        return true
    }

    /** Puts the batch back; true if it may be repeated at once. */
    private suspend fun handleFailure(batch: JournalBatch, outcome: StoreOutcome): Boolean {
        context.changes.requeue(batch.changes)
        // The store may hold the new roster: it is written again before tasks start on the strength of the older one.
        if (outcome is StoreOutcome.Unknown) rosterRows.recordUnknown(batch.roster)
        context.log.event("journal_failed", "rows" to batch.changes.rows.size, "outcome" to outcome::class.simpleName)
        return when (outcome) {
            is StoreOutcome.Conflict -> handleConflict(outcome)
            is StoreOutcome.NotApplied -> outcome.isContentRefused && handleRefusal(batch)
            else -> false
        }
    }

    private fun handleRefusal(batch: JournalBatch): Boolean {
        val canDoBetter = refusals.record(batch.writes, context.clock())
        if (canDoBetter) wake()
        return canDoBetter
    }

    private fun reportRefused(row: RowWrite) {
        context.metrics.journal.rowRefused(row.id.table)
        context.log.event(
            "row_refused",
            "table" to row.id.table,
            "key" to row.id.key,
            "bytes" to row.value.size,
        )
    }

    private fun waitingRow(counts: Map<String, Int>) =
        RowWrite(Tables.WAITING_ROW, encodeRow(WaitingCounts.serializer(), WaitingCounts(counts)))

    private fun recordConfirmation(startedAtMs: Long) {
        unconfirmedSinceMs = null
        val wasWanted = context.confirmation.isWanted
        context.confirmation.record(startedAtMs)
        if (wasWanted) context.wakePlanner()
    }

    /**
     * Either another process leads, or an earlier change of the fence has taken effect, or the answer to that change
     * named a later version than that of the row. True if the write is repeated at once.
     */
    private suspend fun handleConflict(conflict: StoreOutcome.Conflict): Boolean {
        val isLeader = conflict.rows.any { it.id == Tables.TERM_ROW && it.version == context.termRowVersion }
        if (!isLeader) {
            context.onLeadershipLost()
            return false
        }
        wake()
        return true
    }

    private fun markBatchSaved(batch: JournalBatch, phases: Map<TrackedJob, JobPhase>) {
        context.changes.recordSaved()
        context.savedChangeNumber = maxOf(context.savedChangeNumber, batch.changes.savedUpTo)
        phases.forEach { (job, phase) -> job.noteSaved(phase) }
        batch.counts?.let {
            savedCounts = it
            countsAtMs = context.clock()
        }
        if (batch.roster.isNotEmpty()) {
            rosterRows.recordSaved(batch.roster)
            updateRosterFlags()
        }
        if (!context.changes.isEmpty || batch.roster.isNotEmpty()) wake()
    }

    /** Learned worker speeds are stored along with other rows, so that a later leader need not learn them anew. */
    private fun dueSpeeds(): RowWrite? {
        if (context.clock() - speedsAtMs < SPEEDS_PERIOD_MS) return null
        speedsAtMs = context.clock()
        val row = WorkerSpeedsRow(context.workerPool.speeds.toRow(context.workerPool.workers))
        return RowWrite(Tables.SPEEDS_ROW, encodeRow(WorkerSpeedsRow.serializer(), row))
    }

    private fun updateRosterFlags() {
        var isAdded = false
        for (worker in context.workerPool.workers) {
            val isSaved = worker.toRoster() in rosterRows
            isAdded = isAdded || isSaved && !worker.isOnRoster
            worker.isOnRoster = isSaved
        }
        if (isAdded) context.wakePlanner()
    }

    private fun dueCounts(): Map<String, Int>? {
        if (context.clock() - countsAtMs < COUNTS_PERIOD_MS && savedCounts != null) return null
        return context.jobRegistry.waitingByQueue().takeIf { it != savedCounts }
    }

    private fun changedRoster(): List<RosterRow> {
        val changes = rosterRows.changes(context.workerPool.workers.filterNot { it.isGone }.map { it.toRoster() })
        if (changes.isEmpty()) updateRosterFlags()
        return changes
    }
}

internal fun TrackedWorker.toRoster() = RosterWorker(
    id,
    incarnation.startedAtMs,
    entry.address,
    entry.service,
    heldJobs?.takeIf { it.size <= MAX_JOBS_IN_ROSTER },
    trialJobId,
)
