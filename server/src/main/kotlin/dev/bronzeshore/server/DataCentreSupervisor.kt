/** Everything that a process keeps for one data centre: its ownership and, while it owns it, jobs and slots. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.core.WorkerApi
import dev.bronzeshore.jobs.DataCentreJobs
import dev.bronzeshore.jobs.JobCallbacks
import dev.bronzeshore.jobs.JobsContext
import dev.bronzeshore.jobs.OwnerAuthority
import dev.bronzeshore.jobs.WorkerCandidate
import dev.bronzeshore.ownership.DataCentreOwnership
import dev.bronzeshore.ownership.Gained
import dev.bronzeshore.ownership.Member
import dev.bronzeshore.ownership.Promise
import dev.bronzeshore.ownership.PromiseRequest
import dev.bronzeshore.placement.PlacementEngine
import dev.bronzeshore.requests.AllotmentLedger
import dev.bronzeshore.requests.EndpointSlots
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch

/** What all supervisors of a process share. */
internal class SupervisorContext(
    val self: Member,
    val clock: ClockMs,
    val table: TableApi,
    val workerApi: WorkerApi,
    val controlScope: CoroutineScope,
    val members: () -> List<Member>,
    val isGone: (processId: String) -> Boolean,
    val callDeputy: suspend (Member, PromiseRequest) -> Either<Fault, Promise>,
    val kindOf: (plan: String, kind: String) -> WorkKind?,
    val callbacks: JobCallbacks,
    val nextAttempt: () -> Long,
)

/** The current view of one data centre. */
internal data class DataCentreView(
    val workers: List<WorkerCandidate> = emptyList(),
    val endpoints: List<Vm> = emptyList(),
    val leavingEndpoints: Set<String> = emptySet(),
    val allowances: List<Allowance> = emptyList(),
)

/** Used on the control thread only. */
internal class DataCentreSupervisor(val dataCentre: String, private val context: SupervisorContext) {
    private val log = ComponentLog("ownership")
    private var view = DataCentreView()
    private var tenure: Tenure? = null

    val ownership = DataCentreOwnership(
        dataCentre = dataCentre,
        self = context.self,
        clock = context.clock,
        table = context.table,
        callDeputy = context.callDeputy,
        members = context.members,
        isGone = context.isGone,
        onGained = ::onGained,
    )

    /** Jobs of this data centre, or the fault that names why they are not handled here. */
    val jobs: Either<Fault, DataCentreJobs> get() = current().map { it.jobs }

    /** Slots are granted only once every grant of the previous owner has run out. */
    val ledger: Either<Fault, AllotmentLedger>
        get() = current().flatMap { tenure ->
            if (context.clock() > tenure.previousEffectsUntilMs + MAX_CLOCK_SKEW_MS) tenure.ledger.right() else notOwner().left()
        }

    private fun current(): Either<Fault, Tenure> = tenure?.takeIf { ownership.mayAct() }?.right() ?: notOwner().left()

    private fun notOwner() = Fault(ResultCode.NOT_OWNER, "This process does not own data centre $dataCentre.")

    fun start(): Job = context.controlScope.launch {
        while (true) {
            ownership.tick()
            delay(maxOf(MIN_TICK_MS, ownership.nextTickAtMs - context.clock()))
        }
    }

    fun update(newView: DataCentreView) {
        view = newView
        tenure?.let(::applyView)
    }

    private fun onGained(gained: Gained) {
        // A term that is regained after a short loss goes on with the state it had; each effect checks the deadline.
        if (tenure?.term == gained.term) return
        tenure?.scope?.cancel()
        tenure = startTenure(gained)
    }

    private fun startTenure(gained: Gained): Tenure {
        val scope = CoroutineScope(
            context.controlScope.coroutineContext + SupervisorJob(context.controlScope.coroutineContext.job),
        )
        var handled: DataCentreJobs? = null
        val placer = PlacementEngine(context.clock, mayStop = { jobId -> handled?.isIdempotent(jobId) == true })
        val jobs = DataCentreJobs(
            JobsContext(
                authority = OwnerAuthority(
                    dataCentre = dataCentre,
                    term = gained.term,
                    previousEffectsUntilMs = gained.previousEffectsUntilMs,
                    nextAttempt = context.nextAttempt,
                    actUntilMs = { ownership.actUntilMs },
                ),
                clock = context.clock,
                table = context.table,
                workerApi = context.workerApi,
                placer = placer,
                scope = scope,
                kindOf = context.kindOf,
                callbacks = context.callbacks,
            ),
        )
        handled = jobs
        val ledger = AllotmentLedger(dataCentre, context.clock) { ownership.actUntilMs }
        val started = Tenure(gained.term, gained.previousEffectsUntilMs, scope, placer, jobs, ledger)
        applyView(started)
        scope.launch { jobs.run() }
        log.info { "Started handling $dataCentre in term ${gained.term}." }
        return started
    }

    private fun applyView(tenure: Tenure) {
        tenure.placer.setAllowances(view.allowances)
        tenure.jobs.updateWorkers(view.workers)
        tenure.ledger.setAllowances(view.allowances)
        tenure.ledger.setEndpoints(
            view.endpoints.map {
                EndpointSlots(it.id, it.address, it.service.orEmpty(), it.slots, it.id in view.leavingEndpoints)
            },
        )
    }

    /** One uninterrupted ownership of a term by this process. */
    private class Tenure(
        val term: Long,
        val previousEffectsUntilMs: Long,
        val scope: CoroutineScope,
        val placer: PlacementEngine,
        val jobs: DataCentreJobs,
        val ledger: AllotmentLedger,
    )

    private companion object {
        /** Keeps a late clock from turning the loop into a busy one. */
        const val MIN_TICK_MS = 20L
    }
}
