/** State machine of the ownership of one data centre; it does no I/O itself. */
package dev.bronzeshore.ownership

import arrow.core.Either
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.WriteResult

/** A request for a deputy lease and the process that it is sent to. */
internal data class DeputyCall(val deputy: Member, val request: DeputyLeaseRequest)

/** Called when this process gains or loses ownership. */
internal class OwnershipCallbacks(val onGained: (OwnershipGained) -> Unit, val onLost: (term: Long) -> Unit)

/** Applies the rules of section 4.1 of the design page; the caller performs the table steps and the deputy calls. */
internal class OwnershipStateMachine(
    private val dataCentre: String,
    private val self: Member,
    members: () -> List<Member>,
    isGone: (processId: String) -> Boolean,
    private val callbacks: OwnershipCallbacks,
    private val rules: OwnershipRules = OwnershipRules(),
) {
    private val rowTracker = OwnerRowTracker(dataCentre, self, rules)
    private val leaseGrantor = DeputyLeaseGrantor(dataCentre, self, rowTracker, rules)
    private val deputyLeases = DeputyLeaseTracker(dataCentre, self, members, isGone)
    private val policy = TakeoverPolicy(dataCentre, self, members, isGone, leaseGrantor, rules)
    private var heldTerm: Long? = null
    private var lastLostTerm = 0L
    private var latestActUntilMs = 0L
    private var isTableAvailable = true
    private var lastTickMs = 0L
    private var remainingSteps = 0
    var stopping = false
        private set

    val row: OwnerRow? get() = rowTracker.row

    /** Why this process refused the last lease that an owner requested; null if it granted the lease. */
    val lastRefusal: String? get() = leaseGrantor.lastRefusal

    private val ownsRow: Boolean get() = row?.ownerId == self.processId

    /** Time until which this process may act, whichever of the possible rows the table holds. */
    fun actUntilMs(): Long {
        if (stopping || !ownsRow) return 0
        return rowTracker.possibleRows.minOf(::actLimitMs) - rules.clockSkewMs
    }

    private fun actLimitMs(row: OwnerRow): Long {
        if (row.ownerId != self.processId) return 0
        val limitMs = row.leaseUntilMs + rules.deputyLeaseLimitMs - rules.clockSkewMs
        return maxOf(row.leaseUntilMs, minOf(deputyLeases.untilMs(row.deputyId), limitMs))
    }

    /** The leases of all rows that the table may hold, for the log. */
    fun describeLeases(nowMs: Long): String = rowTracker.possibleRows.joinToString("; ") { row ->
        val fromDeputy = row.deputyId?.let { "$it: ${deputyLeases.untilMs(it) - nowMs} ms" } ?: "none"
        "lease: ${row.leaseUntilMs - nowMs} ms, from deputy $fromDeputy"
    }

    fun mayAct(nowMs: Long): Boolean = heldTerm != null && heldTerm == row?.term && nowMs < actUntilMs()

    /** Compares the deadlines with the clock and invokes the callbacks when ownership is gained or lost. */
    fun evaluate(nowMs: Long) {
        val actUntilMs = actUntilMs()
        val isActing = nowMs < actUntilMs
        val term = row?.term
        val lost = heldTerm?.takeIf { !isActing || it != term }
        if (lost != null) {
            heldTerm = null
            lastLostTerm = lost
            callbacks.onLost(lost)
        }
        // While the table is available, a lost term is not regained but followed by a new one, so that recovery starts
        // from a clean state.
        val canGain = term != null && (term > lastLostTerm || !isTableAvailable)
        if (isActing && heldTerm == null && canGain) {
            heldTerm = term
            callbacks.onGained(OwnershipGained(term, maxOf(row?.effectsUntilMs ?: 0, ownEffectsEndMs())))
        }
        if (heldTerm != null) latestActUntilMs = maxOf(latestActUntilMs, actUntilMs)
    }

    fun beginTableStep(nowMs: Long): TableStep {
        evaluate(nowMs)
        remainingSteps = MAX_STEPS
        return if (ownsRow && rowTracker.isCertain) nextWrite(nowMs) else TableStep.Read
    }

    fun onRead(result: Either<Fault, Row?>, nowMs: Long): TableStep {
        isTableAvailable = result.isRight()
        val read = result.getOrNull()?.toOwnerRow() ?: VersionedOwnerRow(version = 0, row = null)
        if (result.isLeft()) return TableStep.Done
        if (rowTracker.updateIfNewer(read)) policy.onNewRow()
        evaluate(nowMs)
        return nextWrite(nowMs)
    }

    fun onWritten(writeId: String, result: Either<Fault, WriteResult>, nowMs: Long): TableStep {
        isTableAvailable = result.isRight()
        val next =
            result.fold(
                ifLeft = { fault ->
                    if (fault.code.outcome == Outcome.NOT_RUN) rowTracker.discardWrite(writeId)
                    TableStep.Done
                },
                ifRight = { written ->
                    if (written is WriteResult.Applied) {
                        rowTracker.confirmWrite(writeId)
                        TableStep.Done
                    } else {
                        rowTracker.discardWrite(writeId)
                        TableStep.Read
                    }
                },
            )
        evaluate(nowMs)
        return next
    }

    /** The calls of a table step timed out; the outcomes of writes that were sent stay uncertain. */
    fun onTableTimeout(nowMs: Long) {
        isTableAvailable = false
        evaluate(nowMs)
    }

    private fun nextWrite(nowMs: Long): TableStep {
        remainingSteps -= 1
        val current = row
        return when {
            stopping || remainingSteps <= 0 -> TableStep.Done
            current != null && ownsRow && current.term > lastLostTerm ->
                rowTracker.beginWrite(renewal(current, nowMs))

            policy.canTakeOver(row, nowMs) -> rowTracker.beginWrite(takeover(nowMs))
            else -> TableStep.Done
        }
    }

    /** The new lease covers all times at which acting was allowed: a new deputy does not know earlier deputy leases. */
    private fun renewal(current: OwnerRow, nowMs: Long): OwnerRow {
        val leaseUntilMs = maxOf(nowMs + LEASE_MS, current.leaseUntilMs, latestActUntilMs + rules.clockSkewMs)
        return current.copy(deputyId = nextDeputyId(current, nowMs), leaseUntilMs = leaseUntilMs)
    }

    /** Keeps a deputy that grants leases although its process row has expired: no row is renewed in a table outage. */
    private fun nextDeputyId(current: OwnerRow, nowMs: Long): String? {
        val candidate = deputyLeases.candidate?.processId
        val neededUntilMs = nowMs + rules.clockSkewMs
        return when {
            !isTableAvailable -> current.deputyId
            candidate != null && deputyLeases.untilMs(candidate) > neededUntilMs -> candidate
            deputyLeases.untilMs(current.deputyId) > neededUntilMs -> current.deputyId
            deputyLeases.otherMembers().none { it.processId == current.deputyId } -> candidate
            else -> current.deputyId
        }
    }

    private fun takeover(nowMs: Long): OwnerRow {
        val previous = row
        val deputies = deputyLeases.otherMembers().filter { it.processId != previous?.ownerId }
        val previousEffectsMs = previous?.let { policy.previousEffectsEndMs(it, nowMs) } ?: 0
        return OwnerRow(
            ownerId = self.processId,
            term = (previous?.term ?: 0) + 1,
            deputyId = DeputySelector(dataCentre, self).select(deputies)?.processId,
            leaseUntilMs = nowMs + LEASE_MS,
            effectsUntilMs = maxOf(previousEffectsMs, ownEffectsEndMs()),
        )
    }

    private fun ownEffectsEndMs(): Long = if (latestActUntilMs == 0L) 0 else latestActUntilMs + 2 * rules.clockSkewMs

    /** Starts a tick; returns lease requests to all processes that the row may name as deputy, and to the candidate. */
    fun beginTick(nowMs: Long): List<DeputyCall> {
        lastTickMs = nowMs
        evaluate(nowMs)
        val current = row
        if (current == null || !ownsRow || stopping) return emptyList()
        deputyLeases.updateCandidate(current.deputyId, nowMs)
        val deputyIds =
            rowTracker.possibleRows.mapNotNull { it.deputyId }.toSet() +
                listOfNotNull(deputyLeases.candidate?.processId)
        return deputyIds.filter { it != self.processId }.mapNotNull(deputyLeases::member).map { deputy ->
            deputyLeases.recordRequest(deputy.processId, nowMs)
            DeputyCall(deputy, DeputyLeaseRequest(dataCentre, current.term, deputy.processId, nowMs + LEASE_MS))
        }
    }

    fun onDeputyLeaseResponse(response: DeputyLeaseResponse, nowMs: Long) {
        if (response.granted && response.dataCentre == dataCentre) deputyLeases.recordLease(response, nowMs)
        evaluate(nowMs)
    }

    fun onDeputyLeaseRequest(request: DeputyLeaseRequest, nowMs: Long): DeputyLeaseResponse =
        leaseGrantor.respond(request, nowMs)

    /** From now on this process neither acts nor takes over; it still grants deputy leases to others. */
    fun stop(nowMs: Long) {
        stopping = true
        evaluate(nowMs)
    }

    /** Write that names the deputy as next owner, or ends the lease for any process if no deputy responds. */
    fun handOverStep(nowMs: Long): TableStep {
        val current = row
        if (current == null || !ownsRow) return TableStep.Done
        val deputy = current.deputyId?.takeIf { deputyLeases.untilMs(it) > nowMs }?.let(deputyLeases::member)
        val effectsUntilMs = maxOf(current.effectsUntilMs, ownEffectsEndMs())
        val released = current.copy(deputyId = null, leaseUntilMs = nowMs, effectsUntilMs = effectsUntilMs)
        if (deputy == null) return rowTracker.beginWrite(released)
        val nextDeputy = DeputySelector(dataCentre, deputy).select(deputyLeases.otherMembers())
        val term = current.term + 1
        return rowTracker.beginWrite(
            released.copy(ownerId = deputy.processId, term = term, deputyId = nextDeputy?.processId),
        )
    }

    /** Time of the next tick: one renewal period after the last one, or earlier if this process can take over then. */
    fun nextTickAtMs(nowMs: Long): Long {
        val regularMs = maxOf(nowMs, lastTickMs + RENEWAL_PERIOD_MS)
        if (stopping || ownsRow) return regularMs
        val takeoverMs = policy.takeoverAtMs(row) ?: regularMs
        return minOf(regularMs, maxOf(nowMs + MIN_TICK_MS, takeoverMs))
    }

    private companion object {
        const val MAX_STEPS = 3
        const val MIN_TICK_MS = 100L
    }
}
