package dev.bronzeshore.ownership

import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Measures times without an owner for docs/decisions/0001-ownership.md, with the periods used in production. */
class OwnershipFiguresTest {
    /** Alternative (a): deputy leases do not extend ownership, and any process may take over after the lease. */
    private val leaseOnly = OwnershipRules(deputyLeaseLimitMs = 0, openTakeoverDelayMs = MAX_CLOCK_SKEW_MS)
    private val withDeputy = OwnershipRules()

    /** Runs a simulation without late messages, with [fault] at a time that depends on the seed. */
    private fun run(
        seed: Long,
        rules: OwnershipRules,
        untilMs: Long,
        fault: (OwnershipSimulation) -> Unit,
    ): InvariantChecker {
        val simulation = OwnershipSimulation(seed, SimulationSettings(rules, untilMs = untilMs))
        simulation.latePercent = 0
        simulation.lostResponsePercent = 0
        simulation.after(FAULT_AT_MS + seed * 37 % RENEWAL_PERIOD_MS) {
            simulation.checker.startMeasuring(simulation.realMs)
            fault(simulation)
        }
        val checker = simulation.run().checker
        assertEquals(null, checker.firstViolation, "seed $seed")
        return checker
    }

    private fun longestUnownedMs(
        name: String,
        seeds: Long,
        rules: OwnershipRules,
        untilMs: Long,
        fault: (OwnershipSimulation) -> Unit,
    ): List<Long> {
        val times = (1L..seeds).map { run(it, rules, untilMs, fault).longestUnownedMs }.sorted()
        println("figures: $name: longest time without owner p50 ${times[times.size / 2]} ms, max ${times.last()} ms")
        return times
    }

    private fun kill(process: SimulatedProcess?) {
        process?.alive = false
    }

    private fun outage(simulation: OwnershipSimulation) {
        simulation.table.mode = TableMode.DOWN
        simulation.after(OUTAGE_MS) { simulation.table.mode = TableMode.UP }
    }

    private fun deputy(simulation: OwnershipSimulation): SimulatedProcess? {
        val id = simulation.owner()?.stateMachine?.row?.deputyId
        return simulation.processes.values.find { it.member.processId == id }
    }

    @Test
    fun `a killed owner is replaced within 5 s while the table is up`() {
        for ((name, rules) in listOf("(a) lease only" to leaseOnly, "(b) deputy" to withDeputy)) {
            val times = longestUnownedMs("$name, owner killed, 300 seeds", 300, rules, 30_000) { kill(it.owner()) }
            assertTrue(times.last() <= 5_000, "$name: $times")
        }
    }

    @Test
    fun `ownership survives a 30 minute outage only with a deputy`() {
        val endMs = FAULT_AT_MS + OUTAGE_MS + 20_000
        val plain = longestUnownedMs("(a) lease only, 30 min outage, 10 seeds", 10, leaseOnly, endMs, ::outage)
        assertTrue(plain.first() > OUTAGE_MS - 2 * LEASE_MS)
        val extended = longestUnownedMs("(b) deputy, 30 min outage, 10 seeds", 10, withDeputy, endMs, ::outage)
        assertTrue(extended.last() <= 2 * RENEWAL_PERIOD_MS, "only lost messages may cause a gap: $extended")
    }

    @Test
    fun `an owner without its deputy loses ownership for the rest of an outage`() {
        val endMs = FAULT_AT_MS + OUTAGE_MS + 20_000
        val times = longestUnownedMs("(b) deputy killed 10 min into the outage, 10 seeds", 10, withDeputy, endMs) {
            outage(it)
            it.after(OUTAGE_MS / 3) { kill(deputy(it)) }
        }
        assertTrue(times.first() > OUTAGE_MS / 3)
    }

    @Test
    fun `without owner and deputy the data centre waits for the operators' mark`() {
        val name = "(b) owner and deputy killed, marked gone after 60 s, 100 seeds"
        val times = longestUnownedMs(name, 100, withDeputy, 120_000) {
            val dead = listOfNotNull(it.owner(), deputy(it))
            dead.forEach(::kill)
            it.after(60_000) { it.gone += dead.map { process -> process.member.processId } }
        }
        assertTrue(times.last() <= 65_000)
    }

    private companion object {
        const val FAULT_AT_MS = 15_000L
        const val OUTAGE_MS = 1_800_000L
    }
}
