package dev.bronzeshore.ownership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Runs many seeds of faults; real time is the judge of who may act. */
class OwnershipSimulationTest {
    private val standard = SimSettings()

    /** One rule of section 4.1 taken away. */
    internal enum class BrokenRule(val change: (SimSettings) -> SimSettings) {
        NO_DRIFT_MARGIN({ it.copy(rules = it.rules.copy(driftMs = 0)) }),
        PROMISES_WHILE_TAKEOVER_IS_OPEN({ it.copy(rules = it.rules.copy(withdrawsBeforeTakeover = false)) }),
        UNCHANGED_ROW_SETTLES_WRITE({ it.copy(rules = it.rules.copy(onlyNewVersionSettles = false)) }),
        OLD_DEPUTY_COUNTS_DURING_CHANGE({ it.copy(rules = it.rules.copy(countsUnsettledRows = false)) }),
        DEPUTY_FORGETS_PROMISES({ it.copy(rules = it.rules.copy(keepsOwnPromises = false)) }),
        PROMISES_PAST_THE_HORIZON({ it.copy(rules = it.rules.copy(promiseHorizonMs = TABLE_OUTAGE_LIMIT_MS)) }),
        RESTARTED_PROCESS_KEEPS_ITS_ID({ it.copy(reusesIds = true) }),
    }

    private fun simulate(seed: Long, settings: SimSettings): OwnershipSimulation {
        val simulation = OwnershipSimulation(seed, settings)
        SimFaults(simulation).schedule()
        return simulation.run()
    }

    @Test
    fun `at most one process may act under faults, and ownership comes back afterwards`() {
        var steps = 0L
        var ownedMs = 0L
        for (seed in 1L..SEEDS) {
            val simulation = simulate(seed, standard)
            assertEquals(null, simulation.judge.firstFault, "seed $seed")
            assertNotNull(simulation.owner(), "seed $seed ends without an owner")
            steps += simulation.steps
            ownedMs += simulation.judge.ownedMs
        }
        println("simulation: $SEEDS seeds, $steps steps, owned ${100 * ownedMs / (SEEDS * standard.untilMs)}% of time")
    }

    @ParameterizedTest
    @EnumSource(BrokenRule::class)
    internal fun `the judge finds two owners when a rule is missing`(broken: BrokenRule) {
        val settings = broken.change(standard)
        val found = (1L..BROKEN_SEEDS).firstNotNullOfOrNull { seed ->
            simulate(seed, settings).judge.firstFault?.let { "seed $seed: $it" }
        }
        println("simulation: $broken $found")
        assertTrue(found != null, "no seed up to $BROKEN_SEEDS shows why the rule $broken is needed")
    }

    private companion object {
        /** More seeds by `-Downership.seeds=`. */
        val SEEDS: Long = System.getProperty("ownership.seeds", "400").toLong()
        const val BROKEN_SEEDS = 2_000L
    }
}
