package dev.bronzeshore.ownership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Guards against two owners at the same real time, with random faults from many seeds. */
class OwnershipSimulationTest {
    private val defaults = SimulationSettings()

    /** One rule of section 4.1 of the design page that is disabled. */
    internal enum class DisabledRule(val change: (SimulationSettings) -> SimulationSettings) {
        NO_CLOCK_SKEW_MARGIN({ it.copy(rules = it.rules.copy(clockSkewMs = 0)) }),
        LEASES_DURING_UNCERTAIN_TAKEOVER({ it.copy(rules = it.rules.copy(refusesLeasesDuringTakeover = false)) }),
        UNCHANGED_ROW_RESOLVES_WRITE({ it.copy(rules = it.rules.copy(onlyNewVersionResolvesWrites = false)) }),
        UNCERTAIN_ROWS_IGNORED({ it.copy(rules = it.rules.copy(considersUncertainRows = false)) }),
        GRANTED_LEASES_IGNORED({ it.copy(rules = it.rules.copy(respectsGrantedLeases = false)) }),
        LEASES_PAST_OPEN_TAKEOVER({ it.copy(rules = it.rules.copy(deputyLeaseLimitMs = TABLE_OUTAGE_LIMIT_MS)) }),
        RESTARTED_PROCESS_KEEPS_ITS_ID({ it.copy(reusesIds = true) }),
    }

    private fun simulate(seed: Long, settings: SimulationSettings): OwnershipSimulation {
        val simulation = OwnershipSimulation(seed, settings)
        FaultInjector(simulation).schedule()
        return simulation.run()
    }

    @Test
    fun `at most one process may act under faults, and ownership comes back afterwards`() {
        var events = 0L
        var ownedMs = 0L
        for (seed in 1L..SEEDS) {
            val simulation = simulate(seed, defaults)
            assertEquals(null, simulation.checker.firstViolation, "seed $seed")
            assertNotNull(simulation.owner(), "seed $seed ends without an owner")
            events += simulation.eventCount
            ownedMs += simulation.checker.ownedMs
        }
        println("simulation: $SEEDS seeds, $events steps, owned ${100 * ownedMs / (SEEDS * defaults.untilMs)}% of time")
    }

    @ParameterizedTest
    @EnumSource(DisabledRule::class)
    internal fun `the checker finds a violation when a rule is disabled`(rule: DisabledRule) {
        val settings = rule.change(defaults)
        val found = (1L..DISABLED_RULE_SEEDS).firstNotNullOfOrNull { seed ->
            simulate(seed, settings).checker.firstViolation?.let { "seed $seed: $it" }
        }
        println("simulation: $rule $found")
        assertTrue(found != null, "no seed up to $DISABLED_RULE_SEEDS shows why the rule $rule is needed")
    }

    private companion object {
        /** `-Downership.seeds=` sets another number of seeds. */
        val SEEDS: Long = System.getProperty("ownership.seeds", "400").toLong()
        const val DISABLED_RULE_SEEDS = 2_000L
    }
}
