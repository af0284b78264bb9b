/** Seeded simulations with faults: no task runs twice, no worker exceeds its capacity, and all jobs end. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.minutes

private const val FAULT_PERIOD_MS = 25_000L
private const val RECOVERY_MS = 60_000L
private const val SEEDS = 6L

/** Guards against tasks that run twice, overcommitted workers, and jobs that are lost or complete too early. */
class SchedulerSimulationTest {
    /** A kind of fault, injected at random times. */
    internal data class FaultScenario(val name: String, val inject: suspend SchedulerSimulation.() -> Unit) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `all jobs end without violations`(scenario: FaultScenario, seed: Long) = runTest(timeout = 2.minutes) {
        val simulation = SchedulerSimulation(this, seed)
        simulation.lead()
        submitUnderFaults(simulation, scenario)
        simulation.workers.faults.delayedRequestShare = 0.0
        simulation.workers.faults.unreachable.clear()
        simulation.workers.faults.stalled.clear()
        simulation.store.faults.isDown = false
        simulation.store.faults.lostResponseShare = 0.0
        delay(RECOVERY_MS)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        val unfinished = simulation.jobIds.associateWith { simulation.phaseOf(it) }
            .filterValues { it != JobPhase.COMPLETED && it != JobPhase.CANCELLED }
        assertEquals(emptyMap<String, JobPhase?>(), unfinished)
    }

    private suspend fun TestScope.submitUnderFaults(simulation: SchedulerSimulation, scenario: FaultScenario) {
        var number = 0
        while (simulation.nowMs() < FAULT_PERIOD_MS) {
            delay(simulation.random.nextLong(50, 400))
            submitRandom(simulation, number++)
            if (simulation.random.nextInt(8) == 0) scenario.inject(simulation)
        }
    }

    private fun submitRandom(simulation: SchedulerSimulation, number: Int) {
        val random = simulation.random
        val id = number.toString(16).padStart(16, '0')
        val first =
            step(random.nextInt(1, 6), random.nextInt(1, 6), random.nextLong(100, 2_000), random.nextInt(3) == 0)
        val second = step(random.nextInt(1, 4), random.nextInt(1, 4), random.nextLong(100, 1_000), after = listOf(0))
        if (random.nextBoolean()) simulation.submit(id, first) else simulation.submit(id, first, second)
        if (random.nextInt(20) == 0) simulation.cancel(id)
    }

    companion object {
        private val SCENARIOS = listOf(
            FaultScenario("no faults") {},
            FaultScenario("leaders that crash") {
                stopLeader()
                delay(random.nextLong(100, 3_000))
                lead()
            },
            FaultScenario("two leaders at the same time") { lead() },
            FaultScenario("workers that crash and restart") {
                val id = workers.ids.random(random)
                workers.crash(id)
                delay(random.nextLong(200, 3_000))
                workers.boot(id)
            },
            FaultScenario("workers that are partitioned and keep running") {
                workers.faults.unreachable += workers.ids.random(random)
                delay(random.nextLong(500, 9_000))
                workers.faults.unreachable.clear()
            },
            FaultScenario("requests that workers apply late") { workers.faults.delayedRequestShare = 0.1 },
            FaultScenario("a leader that crashes while a worker is partitioned") {
                workers.faults.unreachable += workers.ids.random(random)
                delay(random.nextLong(0, 2_000))
                stopLeader()
                lead()
                delay(random.nextLong(500, 9_000))
                workers.faults.unreachable.clear()
            },
            FaultScenario("store outages") {
                store.faults.isDown = true
                delay(random.nextLong(500, 6_000))
                store.faults.isDown = false
            },
            FaultScenario("a change feed without history after a takeover") {
                stopLeader()
                lead()
                delay(random.nextLong(100, 1_000))
                store.faults.oldestHistoryVersion = store.newestVersion
            },
            FaultScenario("lost store responses") { store.faults.lostResponseShare = 0.3 },
            FaultScenario("workers that stall") {
                workers.faults.stalled += workers.ids.random(random)
                delay(random.nextLong(500, 6_000))
                workers.faults.stalled.clear()
            },
        )

        @JvmStatic
        fun cases(): List<Array<Any>> = SCENARIOS.flatMap { scenario -> (1..SEEDS).map { arrayOf(scenario, it) } }
    }
}
