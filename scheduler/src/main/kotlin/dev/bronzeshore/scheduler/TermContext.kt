/** State that the components of a leader share during one term. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.ClusterBounds
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.WorkerCalls
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/** Run numbers of a term start above those of all earlier terms, as starts are not stored. */
private const val RUNS_PER_TERM = 10_000L

/** State and dependencies of one term; confined to the control thread. */
internal class TermContext(
    val term: Long,
    val termRowVersion: Long,
    dependencies: LeaderDependencies,
    val scope: CoroutineScope,
) {
    val store: ClusterStore = dependencies.store
    val calls: WorkerCalls = dependencies.calls
    val bounds: ClusterBounds = dependencies.bounds

    /** Monotonic clock. */
    val clock: ClockMs = dependencies.clock

    /** Clock for schedules and stored times. */
    val wallClock: ClockMs = dependencies.wallClock
    val metrics: SchedulerMetrics = dependencies.metrics
    val renewal: TermRenewal = dependencies.termControl.renewal
    val authority: TermAuthority = dependencies.termControl.authority

    /** Called when a worker refuses the fencing token or the term row shows that another process leads. */
    val onLeadershipLost: suspend () -> Unit = dependencies.termControl.onLeadershipLost

    /** The client accounts of the configuration in force; null if it has none. */
    val accounts: () -> ClientAccounts? = dependencies.accounts
    val log = EventLog("scheduler")
    val firstRunNumber = (term - 1) * RUNS_PER_TERM + 1
    val workerPool = WorkerPool()
    val jobRegistry = JobRegistry()
    val jobMemory = JobMemory(jobRegistry, clock)
    val adviceShares = AdviceShares()
    val fences = PartitionFences(this)
    val confirmation = TermConfirmation(termRowVersion, renewal.renewedAtMs, fences::formerVersion)
    val changes = UnsavedChanges()
    val keptEnds = KeptEndRegistry(term)
    val submissionRates = SubmissionRates()

    /** What the gangs waited for in the last planning round, with their numbers. */
    var gangWaits: Map<GangWait, Int> = emptyMap()

    /** All changes up to this number are stored. */
    var savedChangeNumber: Long = 0

    var wakePlanner: () -> Unit = {}
    var wakeJournal: () -> Unit = {}

    /**
     * Launches [work] in the term. An unexpected error ends this work alone: it is logged and counted, and
     * [onError] releases what the work held.
     */
    fun launchGuarded(name: String, onError: () -> Unit = {}, work: suspend () -> Unit): Job = scope.launch {
        guarded(name, onError) { work() }
    }

    suspend fun guarded(name: String, onError: () -> Unit = {}, work: suspend () -> Unit) = try {
        work()
    } catch (failure: CancellationException) {
        throw failure
    } catch (failure: Exception) {
        metrics.unexpectedError(name)
        log.event("unexpected_error", "work" to name, "cause" to failure.stackTraceToString())
        onError()
    }

    /** Reports a stored row that cannot be decoded; what it stood for is set aside. */
    fun reportMalformedRow(id: RowId, cause: String) {
        metrics.malformedInput("row")
        log.event("row_malformed", "table" to id.table, "key" to id.key, "cause" to cause)
    }

    /** Marks a job's progress, or another row, as changed; returns the number of the change. */
    fun markChanged(row: UnsavedRow): Long = changes.add(row).also { wakeJournal() }

    /** Marks the progress of [task] as changed. */
    fun markChanged(task: TrackedTask) = task.step.job.progressRows.of(task).forEach { markChanged(it) }
}
