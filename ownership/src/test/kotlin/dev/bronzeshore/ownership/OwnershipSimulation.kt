/** Discrete-event simulation of one data centre's ownership with faults drawn from a seed. */
package dev.bronzeshore.ownership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.WriteResult
import java.util.PriorityQueue
import kotlin.random.Random

/** What a run is made of; [reusesIds] lets a restarted process keep its id, against the contract of [Member]. */
internal data class SimSettings(
    val rules: OwnershipRules = OwnershipRules(promiseHorizonMs = 20_000, takeoverHorizonMs = 20_000),
    val reusesIds: Boolean = false,
    val faultsUntilMs: Long = 90_000,
    val untilMs: Long = 140_000,
    val faultEveryMs: Long = 2_500,
    val slots: List<Member> = SLOTS,
)

private val SLOTS =
    listOf(
        Member("a1", "a", "north", "a1:1"),
        Member("a2", "a", "north", "a2:1"),
        Member("b1", "b", "north", "b1:1"),
        Member("b2", "b", "north", "b2:1"),
        Member("c1", "c", "south", "c1:1"),
    )

/** Real time is the time of the events; each process sees it through its own clock. */
internal class OwnershipSimulation(seed: Long, val settings: SimSettings = SimSettings()) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    val random = Random(seed)
    val judge = Judge()
    val table = FakeTable()
    val processes = LinkedHashMap<String, SimProcess>()
    val blocked = HashSet<Set<String>>()

    /** Addresses that cannot reach the table while it is up for others. */
    val cutFromTable = HashSet<String>()
    val gone = HashSet<String>()
    var latePercent = 1
    var lostAnswerPercent = 3

    /** Writes that the table refuses while it answers reads. */
    var refusedWritePercent = 0
    var steps = 0L
        private set
    var realMs = 0L
        private set
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var scheduled = 0L
    private var starts = 0
    private var visible: List<Member> = emptyList()
    private val key = ownerRowKey(DATA_CENTRE)

    init {
        settings.slots.forEach { start(it) }
        refreshMembers()
    }

    fun after(delayMs: Long, action: () -> Unit) {
        events += Event(realMs + delayMs, scheduled++, action)
    }

    fun run(): OwnershipSimulation {
        while (events.isNotEmpty() && events.peek().atMs <= settings.untilMs && judge.firstFault == null) {
            val event = events.poll()
            realMs = event.atMs
            event.action()
            steps += 1
            judge.check(realMs, processes.values)
        }
        return this
    }

    fun owner(): SimProcess? = processes.values.find { it.mayAct(realMs) }

    fun start(slot: Member) {
        starts += 1
        val id = if (settings.reusesIds) slot.processId else "${slot.processId}-$starts"
        val process = SimProcess(slot.copy(processId = id), offset())
        val callbacks = OwnershipCallbacks(onGained = { process.gained = it }, onLost = {})
        process.machine =
            OwnershipMachine(DATA_CENTRE, process.member, { visible }, { it in gone }, callbacks, settings.rules)
        processes[slot.address] = process
        scheduleTick(process, random.nextLong(RENEWAL_PERIOD_MS))
    }

    fun offset(): Long = random.nextLong(-LARGEST_OFFSET_MS, LARGEST_OFFSET_MS + 1)

    /** The process rows as read while the table is up: they still name a process for a while after its end. */
    private fun refreshMembers() {
        if (table.mode == TableMode.UP) {
            val live = processes.values.filter { it.alive }.map { it.member }
            after(random.nextLong(PROCESS_ROW_LIFETIME_MS)) { visible = live }
        }
        after(RENEWAL_PERIOD_MS) { refreshMembers() }
    }

    /** Runs [action] in the process, after its pause if there is one, and never once it has crashed. */
    private fun inProcess(process: SimProcess, action: () -> Unit) {
        when {
            !process.alive -> Unit
            process.pausedUntilMs > realMs -> after(process.pausedUntilMs - realMs) { inProcess(process, action) }
            else -> action()
        }
    }

    private fun scheduleTick(process: SimProcess, delayMs: Long) =
        after(delayMs) { inProcess(process) { tick(process) } }

    private fun tick(process: SimProcess) {
        val machine = process.machine
        machine.beginTick(process.clock(realMs)).forEach { ask(process, it, PROMISE_ATTEMPTS) }
        if (!process.tableBusy) tableStep(process) { machine.beginTableStep(process.clock(realMs)) }
        val nextMs = machine.nextTickAtMs(process.clock(realMs)) - process.clock(realMs)
        scheduleTick(process, nextMs + random.nextLong(20))
    }

    fun handOver(process: SimProcess) = inProcess(process) {
        process.machine.stop(process.clock(realMs))
        tableStep(process) { process.machine.handOverStep(process.clock(realMs)) }
    }

    private fun tableStep(process: SimProcess, first: () -> TableStep) {
        process.tableStep += 1
        process.tableBusy = true
        val number = process.tableStep
        after(CALL_TIMEOUT_MS) {
            inProcess(process) {
                if (process.tableBusy && process.tableStep == number) {
                    process.tableBusy = false
                    process.tableStep += 1
                    process.machine.onTableTimeout(process.clock(realMs))
                }
            }
        }
        carryOut(process, number, first())
    }

    private fun carryOut(process: SimProcess, number: Long, step: TableStep) {
        val machine = process.machine
        when (step) {
            is TableStep.Done -> process.tableBusy = false

            is TableStep.Read ->
                after(networkDelayMs()) {
                    val result: Either<Fault, Row?> =
                        if (reaches(process)) {
                            table.rows[key].right()
                        } else {
                            fault(ResultCode.STORE_UNAVAILABLE).left()
                        }
                    answer(process, number) { machine.onRead(result, process.clock(realMs)) }
                }

            is TableStep.Write ->
                after(networkDelayMs()) {
                    arrive(process, step.transaction) { result ->
                        answer(process, number) {
                            machine.onWritten(step.transaction.writeId, result, process.clock(realMs))
                        }
                    }
                }
        }
    }

    private fun answer(process: SimProcess, number: Long, next: () -> TableStep) = after(networkDelayMs()) {
        inProcess(process) { if (process.tableStep == number) carryOut(process, number, next()) }
    }

    private fun reaches(process: SimProcess): Boolean =
        table.mode == TableMode.UP && process.member.address !in cutFromTable

    /** During an outage a write is refused, vanishes, or takes effect later; otherwise only the answer may be lost. */
    private fun arrive(process: SimProcess, transaction: Transaction, answer: (Either<Fault, WriteResult>) -> Unit) {
        val kind = random.nextInt(100)
        val arrives = reaches(process)
        when {
            !arrives && kind < 40 -> answer(fault(ResultCode.STORE_UNAVAILABLE).left())

            !arrives && kind < 60 -> Unit

            !arrives -> after(random.nextLong(8_000)) { arrive(process, transaction) {} }

            random.nextInt(100) < refusedWritePercent -> answer(fault(ResultCode.STORE_UNAVAILABLE).left())

            else -> {
                val result = table.apply(transaction)
                if (kind >=
                    lostAnswerPercent
                ) {
                    answer(result.right())
                } else {
                    answer(fault(ResultCode.WRITE_UNKNOWN).left())
                }
            }
        }
    }

    private fun ask(process: SimProcess, call: DeputyCall, attempts: Int) {
        var answered = false
        send(process.member.address, call.deputy.address) {
            val deputy = processes.getValue(call.deputy.address)
            inProcess(deputy) {
                val promise = deputy.machine.onDeputyLeaseRequest(call.request, deputy.clock(realMs))
                send(deputy.member.address, process.member.address) {
                    answered = true
                    inProcess(process) { process.machine.onPromise(promise, process.clock(realMs)) }
                }
            }
        }
        if (attempts == 1) return
        after(PROMISE_TIMEOUT_MS) { if (!answered) inProcess(process) { ask(process, call, attempts - 1) } }
    }

    /** A message is lost, late or delivered twice now and then, and lost while its link is cut. */
    private fun send(from: String, to: String, deliver: () -> Unit) {
        if (setOf(from, to) in blocked || random.nextInt(100) < 2) return
        after(networkDelayMs(), deliver)
        if (random.nextInt(100) < 3) after(random.nextLong(6_000), deliver)
    }

    private fun networkDelayMs(): Long =
        if (random.nextInt(100) < latePercent) random.nextLong(200, 8_000) else random.nextLong(1, 15)
}
