/** Ownership of one data centre by at most one process (section 4.1 of the design page). */
package dev.bronzeshore.ownership

import arrow.core.Either
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.TableApi
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Ownership state of one data centre in one process; all calls are made on the control thread.
 *
 * A row of the table names the owner, its lease and its deputy. The owner renews the lease in the row and also requests
 * leases from the deputy, which does not take over while such a deputy lease lasts. Deputy leases extend ownership
 * while the table is unavailable, for [TABLE_OUTAGE_LIMIT_MS] at most.
 *
 * [isGone] is true for a process that operators marked as no longer running (the mark is audited). [onGained] and
 * [onLost] are called on the control thread whenever this process becomes or stops being the owner.
 */
public class DataCentreOwnership(
    public val dataCentre: String,
    private val self: Member,
    private val clock: ClockMs,
    private val table: TableApi,
    private val callDeputy: suspend (deputy: Member, request: DeputyLeaseRequest) -> Either<Fault, DeputyLeaseResponse>,
    members: () -> List<Member>,
    isGone: (processId: String) -> Boolean = { false },
    private val onGained: (OwnershipGained) -> Unit = {},
    private val onLost: (term: Long) -> Unit = {},
) {
    private val log = OwnershipLog(dataCentre, self)
    private val stateMachine =
        OwnershipStateMachine(dataCentre, self, members, isGone, OwnershipCallbacks(::notifyGained, ::notifyLost))
    private val key = ownerRowKey(dataCentre)
    private val tableMutex = Mutex()

    public val state: OwnershipState
        get() {
            val row = stateMachine.row
            return OwnershipState(mayAct(), row?.term ?: 0, row?.ownerId, row?.deputyId, actUntilMs)
        }

    /** All effects of this process and their deadlines must end before this time; 0 if it is not the owner. */
    public val actUntilMs: Long
        get() = if (stateMachine.mayAct(clock())) stateMachine.actUntilMs() else 0

    /** Time at which the next [tick] is due; earlier than one period if this process can take over before. */
    public val nextTickAtMs: Long
        get() = stateMachine.nextTickAtMs(clock())

    /** Whether this process is the owner now; callers check it immediately before each effect. */
    public fun mayAct(): Boolean = stateMachine.mayAct(clock())

    /**
     * Renews or takes over ownership; called every [RENEWAL_PERIOD_MS] or at [nextTickAtMs].
     *
     * The table and the deputy are called concurrently, so that a slow table does not delay a deputy lease.
     */
    public suspend fun tick() {
        val calls = stateMachine.beginTick(clock())
        coroutineScope {
            launch { tableMutex.withLock { runTableSteps { stateMachine.beginTableStep(clock()) } } }
            calls.forEach { call -> launch { requestDeputyLease(call) } }
        }
        stateMachine.evaluate(clock())
        log.deputy(stateMachine.row?.takeIf { it.ownerId == self.processId }?.deputyId)
    }

    public fun onDeputyLeaseRequest(request: DeputyLeaseRequest): DeputyLeaseResponse {
        val response = stateMachine.onDeputyLeaseRequest(request, clock())
        log.refusal(stateMachine.lastRefusal)
        return response
    }

    /** Ticks at once if the message names this process as the next owner. */
    public suspend fun onHandover(message: OwnershipHandover) {
        if (message.nextOwnerId == self.processId) tick()
    }

    /**
     * Stops acting permanently and names the deputy as the next owner.
     *
     * Returns the message for the next owner, or null if this process owned nothing, no deputy responds or the table
     * is unavailable. If the table is unavailable, the deputy takes over after the lease.
     */
    public suspend fun handOver(): OwnershipHandover? {
        stateMachine.stop(clock())
        repeat(HANDOVER_ATTEMPTS) {
            tableMutex.withLock { runTableSteps { stateMachine.handOverStep(clock()) } }
            val row = stateMachine.row ?: return null
            if (row.ownerId != self.processId) return OwnershipHandover(dataCentre, row.term, row.ownerId)
            if (row.deputyId == null) return null
        }
        return null
    }

    private suspend fun runTableSteps(first: () -> TableStep) {
        val finished = withTimeoutOrNull(TABLE_CALL_TIMEOUT_MS) { executeSteps(first()) }
        if (finished == null) {
            log.table("no response within $TABLE_CALL_TIMEOUT_MS ms")
            stateMachine.onTableTimeout(clock())
        }
    }

    private suspend fun executeSteps(first: TableStep) {
        var step = first
        while (step != TableStep.Done) {
            step =
                when (val current = step) {
                    is TableStep.Read -> read()
                    is TableStep.Write -> write(current)
                    is TableStep.Done -> current
                }
        }
    }

    private suspend fun read(): TableStep {
        val result = table.read(key)
        log.table(result.leftOrNull()?.message)
        return stateMachine.onRead(result, clock())
    }

    private suspend fun write(step: TableStep.Write): TableStep {
        val result = table.write(step.transaction)
        log.table(result.leftOrNull()?.message)
        return stateMachine.onWritten(step.transaction.writeId, result, clock())
    }

    private suspend fun requestDeputyLease(call: DeputyCall) {
        repeat(DEPUTY_CALL_ATTEMPTS) {
            val result = withTimeoutOrNull(DEPUTY_CALL_TIMEOUT_MS) { callDeputy(call.deputy, call.request) }
            val response = result?.getOrNull()
            log.lease(call.deputy.processId, leaseFault(result))
            if (response != null) return stateMachine.onDeputyLeaseResponse(response, clock())
        }
    }

    private fun leaseFault(result: Either<Fault, DeputyLeaseResponse>?): String? = when (result) {
        null -> "no response within $DEPUTY_CALL_TIMEOUT_MS ms"
        is Either.Left -> result.value.message
        is Either.Right -> "it refused".takeUnless { result.value.granted }
    }

    private fun notifyGained(gained: OwnershipGained) {
        log.gained(gained.term)
        onGained(gained)
    }

    private fun notifyLost(term: Long) {
        log.lost(term, stateMachine.describeLeases(clock()))
        onLost(term)
    }
}
