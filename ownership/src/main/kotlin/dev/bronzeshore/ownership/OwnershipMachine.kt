/** State machine of the ownership of one data centre, without input or output of its own. */
package dev.bronzeshore.ownership

import arrow.core.Either
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Outcome
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.WriteResult

/** A promise request and the process that it goes to. */
internal data class DeputyCall(val deputy: Member, val request: DeputyLeaseRequest)

/** Called when this process gains or loses ownership. */
internal class OwnershipCallbacks(val onGained: (OwnershipGained) -> Unit, val onLost: (term: Long) -> Unit)

/** Applies the rules of section 4.1; the caller carries out the table steps and the deputy calls. */
internal class OwnershipMachine(
    private val dataCentre: String,
    private val self: Member,
    members: () -> List<Member>,
    isGone: (processId: String) -> Boolean,
    private val callbacks: OwnershipCallbacks,
    private val rules: OwnershipRules = OwnershipRules(),
) {
    private val knowledge = RowKnowledge(dataCentre, self, rules)
    private val keeper = PromiseKeeper(dataCentre, self, knowledge, rules)
    private val held = HeldPromises(dataCentre, self, members, isGone)
    private val policy = TakeoverPolicy(dataCentre, self, members, isGone, keeper, rules)
    private var heldTerm: Long? = null
    private var lastLostTerm = 0L
    private var longestActUntilMs = 0L
    private var tableAnswers = true
    private var lastTickMs = 0L
    private var stepsLeft = 0
    var stopping = false
        private set

    val row: OwnerRow? get() = knowledge.row

    private val ownsRow: Boolean get() = row?.ownerId == self.processId

    /** Latest time at which this process may act, by what holds for every row that the table may hold. */
    fun actUntilMs(): Long {
        if (stopping || !ownsRow) return 0
        return knowledge.possibleRows.minOf(::boundMs) - rules.driftMs
    }

    private fun boundMs(row: OwnerRow): Long {
        if (row.ownerId != self.processId) return 0
        val horizonMs = row.leaseUntilMs + rules.promiseHorizonMs - rules.driftMs
        return maxOf(row.leaseUntilMs, minOf(held.untilMs(row.deputyId), horizonMs))
    }

    fun mayAct(nowMs: Long): Boolean = heldTerm != null && heldTerm == row?.term && nowMs < actUntilMs()

    /** Compares the deadlines with the clock and calls back on a change. */
    fun evaluate(nowMs: Long) {
        val actUntilMs = actUntilMs()
        val acts = nowMs < actUntilMs
        val term = row?.term
        val lost = heldTerm?.takeIf { !acts || it != term }
        if (lost != null) {
            heldTerm = null
            lastLostTerm = lost
            callbacks.onLost(lost)
        }
        // While the table answers, a lost term is followed by a new one, so that recovery starts from a clean state.
        val mayGain = term != null && (term > lastLostTerm || !tableAnswers)
        if (acts && heldTerm == null && mayGain) {
            heldTerm = term
            callbacks.onGained(OwnershipGained(term, maxOf(row?.effectsUntilMs ?: 0, ownEffectsEndMs())))
        }
        if (heldTerm != null) longestActUntilMs = maxOf(longestActUntilMs, actUntilMs)
    }

    fun beginTableStep(nowMs: Long): TableStep {
        evaluate(nowMs)
        stepsLeft = MAX_STEPS
        return if (ownsRow && knowledge.settled) nextWrite(nowMs) else TableStep.Read
    }

    fun onRead(result: Either<Fault, Row?>, nowMs: Long): TableStep {
        tableAnswers = result.isRight()
        val read = result.getOrNull()?.toOwnerRow() ?: VersionedOwnerRow(version = 0, row = null)
        if (result.isLeft()) return TableStep.Done
        if (knowledge.adopt(read)) policy.onNewRow()
        evaluate(nowMs)
        return nextWrite(nowMs)
    }

    fun onWritten(writeId: String, result: Either<Fault, WriteResult>, nowMs: Long): TableStep {
        tableAnswers = result.isRight()
        val next =
            result.fold(
                ifLeft = { fault ->
                    if (fault.code.outcome == Outcome.NOT_RUN) knowledge.notWritten(writeId)
                    TableStep.Done
                },
                ifRight = { written ->
                    if (written is WriteResult.Applied) {
                        knowledge.written(writeId)
                        TableStep.Done
                    } else {
                        knowledge.notWritten(writeId)
                        TableStep.Read
                    }
                },
            )
        evaluate(nowMs)
        return next
    }

    /** The calls of a table step took too long; writes that were sent stay unsettled. */
    fun onTableTimeout(nowMs: Long) {
        tableAnswers = false
        evaluate(nowMs)
    }

    private fun nextWrite(nowMs: Long): TableStep {
        stepsLeft -= 1
        val current = row
        return when {
            stopping || stepsLeft <= 0 -> TableStep.Done
            current != null && ownsRow && current.term > lastLostTerm -> knowledge.write(renewal(current, nowMs))
            policy.mayTakeOver(row, nowMs) -> knowledge.write(takeover(nowMs))
            else -> TableStep.Done
        }
    }

    /** The new lease covers everything that was allowed so far, because a new deputy knows no earlier promise. */
    private fun renewal(current: OwnerRow, nowMs: Long): OwnerRow {
        val leaseUntilMs = maxOf(nowMs + LEASE_MS, current.leaseUntilMs, longestActUntilMs + rules.driftMs)
        return current.copy(deputyId = nextDeputyId(current, nowMs), leaseUntilMs = leaseUntilMs)
    }

    private fun nextDeputyId(current: OwnerRow, nowMs: Long): String? {
        val candidate = held.candidate?.processId
        return when {
            !tableAnswers -> current.deputyId
            candidate != null && held.untilMs(candidate) > nowMs + rules.driftMs -> candidate
            held.others().none { it.processId == current.deputyId } -> candidate
            else -> current.deputyId
        }
    }

    private fun takeover(nowMs: Long): OwnerRow {
        val previous = row
        val deputies = held.others().filter { it.processId != previous?.ownerId }
        val policyEffectsMs = previous?.let { policy.previousEffectsEndMs(it, nowMs) } ?: 0
        return OwnerRow(
            ownerId = self.processId,
            term = (previous?.term ?: 0) + 1,
            deputyId = DeputyChooser(dataCentre, self).choose(deputies)?.processId,
            leaseUntilMs = nowMs + LEASE_MS,
            effectsUntilMs = maxOf(policyEffectsMs, ownEffectsEndMs()),
        )
    }

    private fun ownEffectsEndMs(): Long = if (longestActUntilMs == 0L) 0 else longestActUntilMs + 2 * rules.driftMs

    /** Starts a tick; returns requests to every process that the row may name as deputy, and to the candidate. */
    fun beginTick(nowMs: Long): List<DeputyCall> {
        lastTickMs = nowMs
        evaluate(nowMs)
        val current = row
        if (current == null || !ownsRow || stopping) return emptyList()
        held.updateCandidate(current.deputyId, nowMs)
        val ids = knowledge.possibleRows.mapNotNull { it.deputyId }.toSet() + listOfNotNull(held.candidate?.processId)
        return ids.filter { it != self.processId }.mapNotNull(held::member).map { deputy ->
            held.onAsked(deputy.processId, nowMs)
            DeputyCall(deputy, DeputyLeaseRequest(dataCentre, current.term, deputy.processId, nowMs + LEASE_MS))
        }
    }

    fun onPromise(promise: DeputyLeaseResponse, nowMs: Long) {
        if (promise.granted && promise.dataCentre == dataCentre) held.onGranted(promise, nowMs)
        evaluate(nowMs)
    }

    fun onDeputyLeaseRequest(request: DeputyLeaseRequest, nowMs: Long): DeputyLeaseResponse =
        keeper.answer(request, nowMs)

    /** From here on this process neither acts nor takes over; it still makes promises to others. */
    fun stop(nowMs: Long) {
        stopping = true
        evaluate(nowMs)
    }

    /** Write that names the deputy as next owner, or opens the data centre when no deputy answers. */
    fun handOverStep(nowMs: Long): TableStep {
        val current = row
        if (current == null || !ownsRow) return TableStep.Done
        val deputy = current.deputyId?.takeIf { held.untilMs(it) > nowMs }?.let(held::member)
        val effectsUntilMs = maxOf(current.effectsUntilMs, ownEffectsEndMs())
        val opened = current.copy(deputyId = null, leaseUntilMs = nowMs, effectsUntilMs = effectsUntilMs)
        if (deputy == null) return knowledge.write(opened)
        val nextDeputy = DeputyChooser(dataCentre, deputy).choose(held.others())
        val term = current.term + 1
        return knowledge.write(opened.copy(ownerId = deputy.processId, term = term, deputyId = nextDeputy?.processId))
    }

    /** Time of the next useful tick: the regular one, or earlier when this process can take over before it. */
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
