/** State of one data centre in a process: its ownership and, while the process owns it, jobs and endpoint slots. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
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
import dev.bronzeshore.ownership.DeputyLeaseRequest
import dev.bronzeshore.ownership.DeputyLeaseResponse
import dev.bronzeshore.ownership.Member
import dev.bronzeshore.ownership.OwnershipGained
import dev.bronzeshore.placement.PlacementEngine
import dev.bronzeshore.requests.EndpointSlots
import dev.bronzeshore.requests.SlotAllocator
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch

/** Dependencies that all supervisors of a process share. */
internal class SupervisorContext(
    val self: Member,
    val clock: ClockMs,
    val table: TableApi,
    val workerApi: WorkerApi,
    val controlScope: CoroutineScope,
    val members: () -> List<Member>,
    val isGone: (processId: String) -> Boolean,
    val callDeputy: suspend (Member, DeputyLeaseRequest) -> Either<Fault, DeputyLeaseResponse>,
    val kindOf: (plan: String, kind: String) -> WorkKind?,
    val callbacks: JobCallbacks,
    val nextAttempt: () -> Long,
)

/** VMs and allowances of one data centre. */
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
    private var currentTerm: OwnershipTerm? = null

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

    /** Jobs of this data centre, or a fault if this process does not own it. */
    val jobs: Either<Fault, DataCentreJobs> get() = current().map { it.jobs }

    /** Available once every slot grant of the previous owner has expired, so that no slot is granted twice. */
    val allocator: Either<Fault, SlotAllocator>
        get() = current().flatMap { term ->
            if (context.clock() > term.priorUntilMs + MAX_CLOCK_SKEW_MS) term.allocator.right() else notOwner().left()
        }

    private fun current(): Either<Fault, OwnershipTerm> =
        currentTerm?.takeIf { ownership.mayAct() }?.right() ?: notOwner().left()

    private fun notOwner() = Fault(ResultCode.NOT_OWNER, "This process does not own data centre $dataCentre.")

    fun start(): Job = context.controlScope.launch {
        while (true) {
            ownership.tick()
            delay(maxOf(MIN_TICK_MS, ownership.nextTickAtMs - context.clock()))
        }
    }

    fun update(newView: DataCentreView) {
        view = newView
        currentTerm?.let(::applyView)
    }

    private fun onGained(gained: OwnershipGained) {
        // A term that is regained after a short loss continues with its state: each effect checks the deadline anyway.
        if (currentTerm?.term == gained.term) return
        currentTerm?.scope?.cancel()
        currentTerm = startTerm(gained)
    }

    private fun startTerm(gained: OwnershipGained): OwnershipTerm {
        val scope = CoroutineScope(
            context.controlScope.coroutineContext + SupervisorJob(context.controlScope.coroutineContext.job),
        )
        var termJobs: DataCentreJobs? = null
        val placer = PlacementEngine(context.clock, isIdempotent = { jobId -> termJobs?.isIdempotent(jobId) == true })
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
        termJobs = jobs
        val allocator = SlotAllocator(dataCentre, context.clock) { ownership.actUntilMs }
        val started = OwnershipTerm(gained.term, gained.previousEffectsUntilMs, scope, placer, jobs, allocator)
        applyView(started)
        scope.launch { jobs.run() }
        log.info { "Started handling $dataCentre in term ${gained.term}." }
        return started
    }

    private fun applyView(term: OwnershipTerm) {
        term.placer.setAllowances(view.allowances)
        term.jobs.updateWorkers(view.workers)
        term.allocator.setAllowances(view.allowances)
        term.allocator.setEndpoints(
            view.endpoints.map {
                EndpointSlots(it.id, it.address, it.service.orEmpty(), it.slots, it.id in view.leavingEndpoints)
            },
        )
    }

    /** State of one term of ownership; calls of the previous owner may take effect until [priorUntilMs]. */
    private class OwnershipTerm(
        val term: Long,
        val priorUntilMs: Long,
        val scope: CoroutineScope,
        val placer: PlacementEngine,
        val jobs: DataCentreJobs,
        val allocator: SlotAllocator,
    )

    private companion object {
        /** Keeps the loop from spinning when the next tick is already overdue. */
        const val MIN_TICK_MS = 20L
    }
}
