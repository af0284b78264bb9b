/**
 * The work of a leader during one term: recovery, then planning, sessions with the workers, and the journal.
 *
 * Everything runs on the control thread.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClusterBounds
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.ReadFailure
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.WorkerCalls
import dev.bronzeshore.core.cluster.WorkerChange
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.isEnded
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Pause after a round of planning; changes that come meanwhile are planned together. */
private const val ROUND_PAUSE_MS = 4L

/** A round runs at least this often, for starts that wait for a time. */
private const val IDLE_ROUND_MS = 100L
private const val UPKEEP_EVERY_MS = 250L

/** Longest wait of a change feed, which bounds how late a silent connection is noticed. */
private const val FEED_WAIT_MS = 1_000L

/** Entries of workers change at each of their heartbeats; reading them at most this often bounds the calls. */
private const val WORKER_FEED_PAUSE_MS = 200L
private const val RETRY_MS = 150L

/** What a leader needs from the process. */
public class LeaderDependencies(
    public val store: ClusterStore,
    public val calls: WorkerCalls,
    public val bounds: ClusterBounds,
    public val clock: ClockMs,
    public val wallClock: ClockMs,
    public val metrics: SchedulerMetrics,
    public val renewal: TermRenewal,
    public val adviceClients: () -> List<AdviceClient>,
    public val workerTable: String,
    public val decodeWorker: (StoredRow) -> WorkerChange,
    /** Ends the term: a fence of a worker or the term row in the store has shown that another process leads. */
    public val onLeadershipLost: suspend () -> Unit,
)

/** One term; [run] returns only by cancellation. */
public class LeaderTermRunner(
    private val dependencies: LeaderDependencies,
    private val term: Long,
    private val termRowVersion: Long,
) {
    private var running: TermContext? = null
    private var intake: JobLifecycle? = null

    /** Leads until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        val context = newContext(this).also { running = it }
        val stopper = RunStopper(context)
        val lifecycle = JobLifecycle(context, stopper)
        val quarantine = Quarantine(context)
        val reports = ReportHandler(context, lifecycle, stopper, quarantine)
        val registry = WorkerRegistry(context, reports, lifecycle, JobLookup(context, lifecycle))
        val journal = ProgressJournal(context)
        val recovery = Recovery(context, dependencies, lifecycle, registry, journal)
        val planner = Planner(context, recovery::mayStart)
        val starter = TaskStarter(context, stopper)
        val advice = AdviceDesk(context, dependencies.adviceClients) { planner.eligible(it, context.clock()) }
        val wakePlanner = Channel<Unit>(Channel.CONFLATED)
        context.wakePlanner = { wakePlanner.trySend(Unit) }
        context.wakeJournal = journal::wake
        val versions = recovery.load()
        intake = lifecycle
        launch { followIntake(lifecycle, versions.intake) }
        launch { followWorkers(registry, versions.workers) }
        launch { journal.run() }
        launch { RowCollector(context).run() }
        launch { keepUp(registry, StragglerCheck(context, stopper, quarantine)) }
        while (true) {
            withTimeoutOrNull(IDLE_ROUND_MS) { wakePlanner.receive() }
            val plan = planner.plan()
            plan.starts.forEach(starter::start)
            advice.ask(plan.adviceNeeded)
            delay(ROUND_PAUSE_MS)
        }
    }

    /** Takes in a job that a process has stored and tells of before the change feed does. */
    public fun acceptAnnounced(job: AcceptedJob): Unit? = intake?.accept(job, version = 0)

    /** The state that callers may see of a job, or null when this leader does not know it. */
    public fun phaseOf(jobId: String): JobPhase? {
        val job = running?.book?.find(jobId) ?: return null
        return when {
            job.savedPhase.isEnded -> job.savedPhase
            job.steps.any { it.hasStarted } -> JobPhase.RUNNING
            else -> JobPhase.PENDING
        }
    }

    private fun newContext(scope: CoroutineScope) = TermContext(
        term, termRowVersion, dependencies.store, dependencies.calls, dependencies.bounds, dependencies.clock,
        dependencies.wallClock, scope, dependencies.metrics, dependencies.renewal, dependencies.onLeadershipLost,
    )

    private suspend fun followIntake(lifecycle: JobLifecycle, fromVersion: Long) {
        follow(Tables.INTAKE, fromVersion, pauseMs = 0) { rows -> rows.forEach { takeIntake(it, lifecycle) } }
    }

    private suspend fun followWorkers(registry: WorkerRegistry, fromVersion: Long) {
        follow(dependencies.workerTable, fromVersion, WORKER_FEED_PAUSE_MS) { rows ->
            rows.forEach { registry.apply(dependencies.decodeWorker(it)) }
        }
    }

    /** Passes on the changes of a table; after a gap in its history the whole table is read again. */
    private suspend fun follow(table: String, fromVersion: Long, pauseMs: Long, take: (List<StoredRow>) -> Unit) {
        var version = fromVersion
        while (true) {
            dependencies.store.changes(table, version, FEED_WAIT_MS).fold(
                ifLeft = { failure ->
                    if (failure is ReadFailure.HistoryGone) {
                        TableReader(dependencies.store).readTable(table)?.let {
                            take(it.rows)
                            version = it.version
                        }
                    }
                    delay(RETRY_MS)
                },
                ifRight = { page ->
                    if (page.rows.isNotEmpty()) take(page.rows)
                    version = maxOf(version, page.version)
                    if (pauseMs > 0) delay(pauseMs)
                },
            )
        }
    }

    private suspend fun keepUp(registry: WorkerRegistry, stragglers: StragglerCheck) {
        while (true) {
            delay(UPKEEP_EVERY_MS)
            registry.expireLeases()
            stragglers.check()
        }
    }
}

/** Takes in a row of the intake table: an accepted job or a cancellation. */
internal fun takeIntake(row: StoredRow, lifecycle: JobLifecycle) {
    val value = row.value ?: return
    val cancelled = Tables.cancelledJobOf(row.id.key)
    if (cancelled !=
        null
    ) {
        lifecycle.cancel(cancelled)
    } else {
        lifecycle.accept(decodeRow(AcceptedJob.serializer(), value), row.version)
    }
}
