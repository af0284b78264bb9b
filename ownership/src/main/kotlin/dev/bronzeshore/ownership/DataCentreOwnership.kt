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
import org.tinylog.Logger

/**
 * Control state for one data centre in one process; every call is made on the control thread.
 *
 * [isGone] is the operators' audited mark that a process no longer runs. [onGained] and [onLost] are called on the
 * control thread whenever this process becomes or stops being the owner.
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
    private val machine =
        OwnershipMachine(dataCentre, self, members, isGone, OwnershipCallbacks(::gained, ::lost))
    private val key = ownerRowKey(dataCentre)
    private val tableCalls = Mutex()

    public val state: OwnershipState
        get() {
            val row = machine.row
            return OwnershipState(mayAct(), row?.term ?: 0, row?.ownerId, row?.deputyId, actUntilMs)
        }

    /** Effects and their deadlines must end before this time; 0 when this process is not the owner. */
    public val actUntilMs: Long
        get() = if (machine.mayAct(clock())) machine.actUntilMs() else 0

    /** Time at which the next [tick] is due; a deputy is called earlier when it can take over. */
    public val nextTickAtMs: Long
        get() = machine.nextTickAtMs(clock())

    /** Checked immediately before each effect. */
    public fun mayAct(): Boolean = machine.mayAct(clock())

    /**
     * Renews or takes over ownership; called every [RENEWAL_PERIOD_MS] or at [nextTickAtMs].
     *
     * The table and the deputy are called concurrently, so a slow table does not delay a promise.
     */
    public suspend fun tick() {
        val calls = machine.beginTick(clock())
        coroutineScope {
            launch { tableCalls.withLock { tableStep { machine.beginTableStep(clock()) } } }
            calls.forEach { call -> launch { askDeputy(call) } }
        }
        machine.evaluate(clock())
    }

    public fun onDeputyLeaseRequest(request: DeputyLeaseRequest): DeputyLeaseResponse =
        machine.onDeputyLeaseRequest(request, clock())

    /** Reads the row at once when it may name this process as the next owner. */
    public suspend fun onHandover(message: OwnershipHandover) {
        if (message.nextOwnerId == self.processId) tick()
    }

    /**
     * Stops acting for good and names the deputy as the next owner.
     *
     * Returns the message for the next owner, or null when there was nothing to hand over, no deputy answers or the
     * table does not; the deputy then takes over after the lease.
     */
    public suspend fun handOver(): OwnershipHandover? {
        machine.stop(clock())
        repeat(HAND_OVER_ATTEMPTS) {
            tableCalls.withLock { tableStep { machine.handOverStep(clock()) } }
            val row = machine.row ?: return null
            if (row.ownerId != self.processId) return OwnershipHandover(dataCentre, row.term, row.ownerId)
            if (row.deputyId == null) return null
        }
        return null
    }

    private suspend fun tableStep(first: () -> TableStep) {
        val finished = withTimeoutOrNull(CALL_TIMEOUT_MS) { runSteps(first()) }
        if (finished == null) machine.onTableTimeout(clock())
    }

    private suspend fun runSteps(first: TableStep) {
        var step = first
        while (step != TableStep.Done) {
            step =
                when (val current = step) {
                    is TableStep.Read -> machine.onRead(table.read(key), clock())
                    is TableStep.Write -> write(current)
                    is TableStep.Done -> current
                }
        }
    }

    private suspend fun write(step: TableStep.Write): TableStep {
        val result = table.write(step.transaction)
        return machine.onWritten(step.transaction.writeId, result, clock())
    }

    private suspend fun askDeputy(call: DeputyCall) {
        repeat(PROMISE_ATTEMPTS) {
            val answer = withTimeoutOrNull(PROMISE_TIMEOUT_MS) { callDeputy(call.deputy, call.request) }
            val promise = answer?.getOrNull()
            if (promise != null) return machine.onPromise(promise, clock())
        }
    }

    private fun gained(gained: OwnershipGained) {
        Logger.info("ownership: {} owns {} in term {}", self.processId, dataCentre, gained.term)
        onGained(gained)
    }

    private fun lost(term: Long) {
        Logger.info("ownership: {} no longer owns {} (term {})", self.processId, dataCentre, term)
        onLost(term)
    }
}
