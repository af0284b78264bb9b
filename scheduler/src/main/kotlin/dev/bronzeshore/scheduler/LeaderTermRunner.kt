/**
 * Runs the work of a leader during one term: recovery, then planning, worker sessions and the progress journal.
 *
 * Everything runs on the control thread.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.ClusterBounds
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.WorkerCalls
import dev.bronzeshore.core.cluster.WorkerChange
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Pause after a planning round; changes that arrive meanwhile are planned together. */
private const val ROUND_PAUSE_MS = 4L

/**
 * Pause after a round as a multiple of its duration. It leaves two thirds of the control thread to callers, reports
 * and renewals when many steps wait.
 */
private const val PAUSE_PER_ROUND_TIME = 2L

/** Longest time between two rounds, for starts that wait for a point in time. */
private const val MAX_ROUND_INTERVAL_MS = 100L
private const val MAINTENANCE_PERIOD_MS = 250L

/** Longest wait of a change feed request, which bounds how late a dead connection is noticed. */
private const val CHANGE_FEED_WAIT_MS = 1_000L

/** A worker entry changes with each heartbeat of the worker; this pause limits the number of feed requests. */
private const val WORKER_FEED_PAUSE_MS = 200L
private const val RETRY_MS = 150L

/** With an answer of the intake table's change feed this recent, the leader knows the jobs that have been accepted. */
private const val INTAKE_RECENT_MS = 2_000L

/** The table of the store in which workers register, and the decoder of its rows. */
public class WorkerDirectory(public val table: String, public val decode: (StoredRow) -> WorkerChange)

/** Rows of a table, and when they were written if that is known; [isWhole] if they are all rows, not changes alone. */
private class TableRows(val rows: List<StoredRow>, val read: FeedRead?, val isWhole: Boolean = false)

/** The version from which a change feed continues, and when it was read; null if that is of no interest. */
private class FeedStart(val version: Long, val readAt: FeedTime?)

/** What a leader needs from the process that runs it. */
public class LeaderDependencies(
    public val store: ClusterStore,
    public val calls: WorkerCalls,
    public val bounds: ClusterBounds,
    public val clock: ClockMs,
    public val wallClock: ClockMs,
    public val metrics: SchedulerMetrics,
    public val termControl: TermControl,
    public val adviceClients: () -> List<AdviceClient>,
    public val workers: WorkerDirectory,
    /** The client accounts of the configuration in force; null if it has none. */
    public val accounts: () -> ClientAccounts? = { null },
)

/** Runs one term; [run] ends only by cancellation. */
public class LeaderTermRunner(
    private val dependencies: LeaderDependencies,
    private val term: Long,
    private val termRowVersion: Long,
) {
    private var currentContext: TermContext? = null
    private var jobLifecycle: JobLifecycle? = null

    /** Monotonic time of the last answer of the intake table's change feed; null before recovery. */
    private var intakeReadAtMs: Long? = null

    public suspend fun run(): Unit = coroutineScope {
        val context = TermContext(term, termRowVersion, dependencies, this).also { currentContext = it }
        val stopper = RunStopper(context)
        val lifecycle = JobLifecycle(context, stopper)
        val quarantine = Quarantine(context)
        val trials = CrashTrials(context)
        val crashes = CrashAttribution(context, lifecycle)
        val reports = ReportHandler(context, lifecycle, stopper, quarantine, trials, crashes)
        val registry = WorkerRegistry(context, reports, lifecycle, JobLookup(context, lifecycle), crashes)
        val journal = ProgressJournal(context)
        val recovery = Recovery(context, dependencies, lifecycle, registry, journal)
        val planner = Planner(context, trials, UnknownUsage(context, registry), recovery::mayStart)
        val starter = TaskStarter(context, stopper, trials)
        val advice = AdviceDispatcher(context, dependencies.adviceClients)
        val wakePlanner = Channel<Unit>(Channel.CONFLATED)
        context.wakePlanner = { wakePlanner.trySend(Unit) }
        context.wakeJournal = journal::wake
        launch { dependencies.termControl.authority.maintain() }
        val versions = recovery.load()
        jobLifecycle = lifecycle
        launch { followIntake(lifecycle, versions) }
        launch { followWorkers(registry, versions) }
        launch { journal.run() }
        launch { PartitionWriter(context, journal).run() }
        launch { collectGarbage(context) }
        launch { maintain(context, registry, StallDetector(context, stopper, quarantine)) }
        while (true) {
            withTimeoutOrNull(MAX_ROUND_INTERVAL_MS) { wakePlanner.receive() }
            val startedAtMs = context.clock()
            val plan = planner.plan(advice.newNeeds())
            plan.starts.forEach(starter::start)
            advice.ask(plan.adviceNeeds)
            val durationMs = context.clock() - startedAtMs
            context.metrics.planning.round(durationMs)
            delay(maxOf(ROUND_PAUSE_MS, PAUSE_PER_ROUND_TIME * durationMs))
        }
    }

    /** Accepts a job that a process has stored and announces before the change feed delivers it. */
    public fun acceptAnnounced(job: AcceptedJob): Unit? = jobLifecycle?.accept(job, version = 0)

    /** What this leader keeps in memory. */
    public val memoryUse: MemoryUse get() = currentContext?.jobRegistry?.memoryUse ?: MemoryUse()

    /** The same when it was last reported, for any thread. */
    @Volatile
    public var reportedMemoryUse: MemoryUse = MemoryUse()
        private set

    /**
     * Memory that all processes together may use for jobs without asking this leader. Null if the leader does not know
     * of the jobs that were stored lately.
     */
    public val allowanceBytes: Long? get() = knownMemory()?.allowanceBytes

    /** Reserves memory for a job that is about to be stored; null if the leader does not know how much is free. */
    public fun reserveMemory(jobId: String, bytes: Long): Boolean? = knownMemory()?.reserve(jobId, bytes)

    private fun knownMemory(): JobMemory? {
        val readAtMs = intakeReadAtMs ?: return null
        return currentContext?.jobMemory?.takeIf { dependencies.clock() - readAtMs < INTAKE_RECENT_MS }
    }

    /** Monotonic time of the last write to an intake partition that confirmed the term; null if there was none. */
    public val confirmedInPartitionAtMs: Long? get() = currentContext?.confirmation?.confirmedInPartitionAtMs

    /** The phase of a job that callers may see, or null if this leader does not know the job. */
    public fun phaseOf(jobId: String): JobPhase? {
        val job = currentContext?.jobRegistry?.find(jobId) ?: return null
        return when {
            job.savedPhase.isEnded -> job.savedPhase
            job.hasStarted -> JobPhase.RUNNING
            else -> JobPhase.PENDING
        }
    }

    private suspend fun followIntake(lifecycle: JobLifecycle, loaded: LoadedVersions) {
        noteIntakeRead()
        followTable(Tables.INTAKE, FeedStart(loaded.intake, readAt = null), onRead = ::noteIntakeRead) { table ->
            table.rows.forEach { applyIntakeRow(it, lifecycle) }
        }
    }

    private fun noteIntakeRead() {
        intakeReadAtMs = dependencies.clock()
    }

    private suspend fun followWorkers(registry: WorkerRegistry, loaded: LoadedVersions) {
        followTable(
            dependencies.workers.table,
            FeedStart(loaded.workers, loaded.workersReadAt),
            WORKER_FEED_PAUSE_MS,
            registry::onDirectoryFailure,
        ) { table ->
            val changes = table.rows.map { dependencies.workers.decode(it) }
            changes.forEach { registry.apply(it, table.read) }
            if (table.isWhole) registry.unlistOthers(changes)
        }
    }

    /**
     * Passes on the changes of a table with the moments between which they were made: the former read, and this one.
     * If the store no longer has some of them, the whole table is read again, and nothing is known of the time; rows
     * that it lacks were removed meanwhile.
     */
    private suspend fun followTable(
        table: String,
        start: FeedStart,
        pauseMs: Long = 0,
        onFailure: () -> Unit = {},
        onRead: () -> Unit = {},
        applyRows: (TableRows) -> Unit,
    ) {
        var version = start.version
        var formerReadAt = start.readAt
        while (true) {
            val requestedAtMs = dependencies.clock()
            dependencies.store.changes(table, version, CHANGE_FEED_WAIT_MS).fold(
                ifLeft = { failure ->
                    onFailure()
                    if (failure is ReadFailure.HistoryGone) {
                        TableReader(dependencies.store).readTable(table)?.let {
                            applyRows(TableRows(it.rows, read = null, isWhole = true))
                            version = it.version
                            formerReadAt = FeedTime(requestedAtMs, it.storeMs)
                        }
                    }
                    delay(RETRY_MS)
                },
                ifRight = { page ->
                    val read = FeedRead(formerReadAt, FeedTime(dependencies.clock(), page.storeMs))
                    if (page.rows.isNotEmpty()) applyRows(TableRows(page.rows, read))
                    formerReadAt = FeedTime(requestedAtMs, page.storeMs)
                    version = maxOf(version, page.version)
                    onRead()
                    if (pauseMs > 0) delay(pauseMs)
                },
            )
        }
    }

    private suspend fun maintain(context: TermContext, registry: WorkerRegistry, stallDetector: StallDetector) {
        val loadReport = LoadReport(context) { reportedMemoryUse = it }
        val termReport = TermReport(context)
        while (true) {
            delay(MAINTENANCE_PERIOD_MS)
            context.guarded("maintenance") {
                registry.expireLeases()
                stallDetector.restartStalledRuns()
                loadReport.reportIfDue()
                termReport.reportChange()
            }
        }
    }

    private suspend fun collectGarbage(context: TermContext) {
        val collector = RowGarbageCollector(context)
        while (true) context.guarded("row deletion") { collector.runOnce() }
    }
}

/** Applies a row of the intake table: an accepted job or a cancellation. */
internal fun applyIntakeRow(row: StoredRow, lifecycle: JobLifecycle) {
    val value = row.value ?: return
    if (IntakeRows.isFence(row.id)) return
    lifecycle.noteRow(row.id)
    // Only this leader writes ends, and knows what they say.
    if (IntakeRows.endedJobOf(row.id.key) != null) return
    val cancelled = Tables.cancelledJobOf(row.id.key)
    if (cancelled != null) return lifecycle.cancel(cancelled)
    decodeRow(AcceptedJob.serializer(), value).fold(
        ifLeft = { lifecycle.setAside(row, it) },
        ifRight = { lifecycle.accept(it, row.version) },
    )
}
