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

/** Settings of a run; [reusesIds] lets a restarted process keep its id, in violation of the contract of [Member]. */
internal data class SimulationSettings(
    val rules: OwnershipRules = OwnershipRules(deputyLeaseLimitMs = 20_000, openTakeoverDelayMs = 20_000),
    val reusesIds: Boolean = false,
    val faultsUntilMs: Long = 90_000,
    val untilMs: Long = 140_000,
    val faultEveryMs: Long = 2_500,
    val initialMembers: List<Member> = INITIAL_MEMBERS,
)

private val INITIAL_MEMBERS =
    listOf(
        Member("a1", "a", "north", "a1:1"),
        Member("a2", "a", "north", "a2:1"),
        Member("b1", "b", "north", "b1:1"),
        Member("b2", "b", "north", "b2:1"),
        Member("c1", "c", "south", "c1:1"),
    )

/** Events happen in real time; each process reads its own clock, which is offset from it. */
internal class OwnershipSimulation(seed: Long, val settings: SimulationSettings = SimulationSettings()) {
    private class Event(val atMs: Long, val order: Long, val action: () -> Unit)

    val random = Random(seed)
    val checker = InvariantChecker()
    val table = FakeTable()
    val processes = LinkedHashMap<String, SimulatedProcess>()
    val blockedLinks = HashSet<Set<String>>()

    /** Addresses that cannot reach the table while others can. */
    val cutFromTable = HashSet<String>()
    val gone = HashSet<String>()
    var latePercent = 1
    var lostResponsePercent = 3

    /** Percentage of writes that the table refuses while it serves reads. */
    var refusedWritePercent = 0
    var eventCount = 0L
        private set
    var realMs = 0L
        private set
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var scheduledCount = 0L
    private var startCount = 0
    private var visibleMembers: List<Member> = emptyList()
    private val key = ownerRowKey(DATA_CENTRE)

    init {
        settings.initialMembers.forEach { start(it) }
        refreshMembers()
    }

    fun after(delayMs: Long, action: () -> Unit) {
        events += Event(realMs + delayMs, scheduledCount++, action)
    }

    fun run(): OwnershipSimulation {
        while (events.isNotEmpty() && events.peek().atMs <= settings.untilMs && checker.firstViolation == null) {
            val event = events.poll()
            realMs = event.atMs
            event.action()
            eventCount += 1
            checker.check(realMs, processes.values)
        }
        return this
    }

    fun owner(): SimulatedProcess? = processes.values.find { it.mayAct(realMs) }

    fun start(template: Member) {
        startCount += 1
        val id = if (settings.reusesIds) template.processId else "${template.processId}-$startCount"
        val process = SimulatedProcess(template.copy(processId = id), clockOffset())
        val callbacks = OwnershipCallbacks(onGained = { process.gained = it }, onLost = {})
        process.stateMachine =
            OwnershipStateMachine(
                DATA_CENTRE,
                process.member,
                { visibleMembers },
                { it in gone },
                callbacks,
                settings.rules,
            )
        processes[template.address] = process
        scheduleTick(process, random.nextLong(RENEWAL_PERIOD_MS))
    }

    fun clockOffset(): Long = random.nextLong(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS + 1)

    /** Members as read from the process rows while the table is up; they name a process for a while after its end. */
    private fun refreshMembers() {
        if (table.mode == TableMode.UP) {
            val live = processes.values.filter { it.alive }.map { it.member }
            after(random.nextLong(PROCESS_ROW_LIFETIME_MS)) { visibleMembers = live }
        }
        after(RENEWAL_PERIOD_MS) { refreshMembers() }
    }

    /** Runs [action] in the process, after its pause if it is paused, and not at all if it has crashed. */
    private fun inProcess(process: SimulatedProcess, action: () -> Unit) {
        when {
            !process.alive -> Unit
            process.pausedUntilMs > realMs -> after(process.pausedUntilMs - realMs) { inProcess(process, action) }
            else -> action()
        }
    }

    private fun scheduleTick(process: SimulatedProcess, delayMs: Long) =
        after(delayMs) { inProcess(process) { tick(process) } }

    private fun tick(process: SimulatedProcess) {
        val stateMachine = process.stateMachine
        stateMachine.beginTick(process.clock(realMs)).forEach { requestDeputyLease(process, it, DEPUTY_CALL_ATTEMPTS) }
        if (!process.tableBusy) tableStep(process) { stateMachine.beginTableStep(process.clock(realMs)) }
        val nextMs = stateMachine.nextTickAtMs(process.clock(realMs)) - process.clock(realMs)
        scheduleTick(process, nextMs + random.nextLong(20))
    }

    fun handOver(process: SimulatedProcess) = inProcess(process) {
        process.stateMachine.stop(process.clock(realMs))
        tableStep(process) { process.stateMachine.handOverStep(process.clock(realMs)) }
    }

    private fun tableStep(process: SimulatedProcess, first: () -> TableStep) {
        process.tableStep += 1
        process.tableBusy = true
        val number = process.tableStep
        after(TABLE_CALL_TIMEOUT_MS) {
            inProcess(process) {
                if (process.tableBusy && process.tableStep == number) {
                    process.tableBusy = false
                    process.tableStep += 1
                    process.stateMachine.onTableTimeout(process.clock(realMs))
                }
            }
        }
        executeStep(process, number, first())
    }

    private fun executeStep(process: SimulatedProcess, number: Long, step: TableStep) {
        val stateMachine = process.stateMachine
        when (step) {
            is TableStep.Done -> process.tableBusy = false

            is TableStep.Read ->
                after(networkDelayMs()) {
                    val result: Either<Fault, Row?> =
                        if (reachesTable(process)) {
                            table.rows[key].right()
                        } else {
                            fault(ResultCode.STORE_UNAVAILABLE).left()
                        }
                    respond(process, number) { stateMachine.onRead(result, process.clock(realMs)) }
                }

            is TableStep.Write ->
                after(networkDelayMs()) {
                    deliverWrite(process, step.transaction) { result ->
                        respond(process, number) {
                            stateMachine.onWritten(step.transaction.writeId, result, process.clock(realMs))
                        }
                    }
                }
        }
    }

    private fun respond(process: SimulatedProcess, number: Long, next: () -> TableStep) = after(networkDelayMs()) {
        inProcess(process) { if (process.tableStep == number) executeStep(process, number, next()) }
    }

    private fun reachesTable(process: SimulatedProcess): Boolean =
        table.mode == TableMode.UP && process.member.address !in cutFromTable

    /** During an outage a write is refused, lost or applied later; otherwise it may be refused or its response lost. */
    private fun deliverWrite(
        process: SimulatedProcess,
        transaction: Transaction,
        onResult: (Either<Fault, WriteResult>) -> Unit,
    ) {
        val percentile = random.nextInt(100)
        val isReachable = reachesTable(process)
        when {
            !isReachable && percentile < 40 -> onResult(fault(ResultCode.STORE_UNAVAILABLE).left())

            !isReachable && percentile < 60 -> Unit

            !isReachable -> after(random.nextLong(8_000)) { deliverWrite(process, transaction) {} }

            random.nextInt(100) < refusedWritePercent -> onResult(fault(ResultCode.STORE_UNAVAILABLE).left())

            else -> {
                val result = table.apply(transaction)
                if (percentile >= lostResponsePercent) {
                    onResult(result.right())
                } else {
                    onResult(fault(ResultCode.WRITE_UNKNOWN).left())
                }
            }
        }
    }

    private fun requestDeputyLease(process: SimulatedProcess, call: DeputyCall, attempts: Int) {
        var hasResponse = false
        send(process.member.address, call.deputy.address) {
            val deputy = processes.getValue(call.deputy.address)
            inProcess(deputy) {
                val response = deputy.stateMachine.onDeputyLeaseRequest(call.request, deputy.clock(realMs))
                send(deputy.member.address, process.member.address) {
                    hasResponse = true
                    inProcess(process) { process.stateMachine.onDeputyLeaseResponse(response, process.clock(realMs)) }
                }
            }
        }
        if (attempts == 1) return
        after(DEPUTY_CALL_TIMEOUT_MS) {
            if (!hasResponse) inProcess(process) { requestDeputyLease(process, call, attempts - 1) }
        }
    }

    /** A message is sometimes lost, late or delivered twice, and always lost while its link is blocked. */
    private fun send(from: String, to: String, deliver: () -> Unit) {
        if (setOf(from, to) in blockedLinks || random.nextInt(100) < 2) return
        after(networkDelayMs(), deliver)
        if (random.nextInt(100) < 3) after(random.nextLong(6_000), deliver)
    }

    private fun networkDelayMs(): Long =
        if (random.nextInt(100) < latePercent) random.nextLong(200, 8_000) else random.nextLong(1, 15)
}
