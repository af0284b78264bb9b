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

/** For runs by hand: -Dsimulation.seeds=200 -Dsimulation.firstSeed=7, and a part of the names of the scenarios. */
private val SEEDS = System.getProperty("simulation.seeds", "6").toLong()
private val FIRST_SEED = System.getProperty("simulation.firstSeed", "1").toLong()
private val ONLY = System.getProperty("simulation.only", "")

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
        simulation.workers.faults.unreachableFrom.clear()
        simulation.workers.faults.reportDelayMs = { 0 }
        simulation.workers.faults.stalled.clear()
        simulation.store.faults.refusedCallers.clear()
        simulation.store.faults.silentPartitions.clear()
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
            FaultScenario("workers that drain and leave") { drainAndLeave() },
            FaultScenario("workers that drain and leave while leaders crash") {
                drainAndLeave(afterMs = random.nextLong(0, 1_500)) {
                    stopLeader()
                    delay(random.nextLong(0, 1_500))
                    lead(randomPollDelays())
                }
            },
            FaultScenario("workers that drain and leave in store outages before leaders crash") {
                store.faults.isDown = true
                drainAndLeave(afterMs = random.nextLong(0, 3_000)) {
                    store.faults.isDown = false
                    delay(random.nextLong(0, 300))
                    stopLeader()
                    lead(randomPollDelays())
                }
            },
            FaultScenario("reports that overtake each other") {
                workers.faults.reportDelayMs = { if (random.nextInt(3) == 0) random.nextLong(0, 650) else 0 }
            },
            FaultScenario("reports that overtake each other while leaders crash") {
                workers.faults.reportDelayMs = { if (random.nextInt(3) == 0) random.nextLong(0, 650) else 0 }
                workers.faults.unreachable += workers.ids.random(random)
                delay(random.nextLong(0, 1_000))
                workers.faults.unreachable.clear()
                stopLeader()
                lead()
            },
            FaultScenario("a leader that freezes while another one leads") {
                val frozen = leaderDispatcher
                frozen.isFrozen = true
                delay(random.nextLong(1_400, 2_500))
                lead(randomPollDelays())
                delay(random.nextLong(0, 9_000))
                frozen.isFrozen = false
            },
            FaultScenario("a leader that freezes while no other one leads") {
                leaderDispatcher.isFrozen = true
                delay(random.nextLong(500, 9_000))
                leaderDispatcher.isFrozen = false
            },
            FaultScenario("a leader without the store while another one leads") {
                store.faults.refusedCallers += leaderName
                delay(random.nextLong(500, 4_000))
                lead(randomPollDelays())
                delay(random.nextLong(0, 4_000))
                store.faults.refusedCallers.clear()
            },
            FaultScenario("two takeovers while a worker is partitioned and the store loses responses") {
                store.faults.lostResponseShare = 0.3
                store.faults.lostWriteDelayMs = random.nextLong(0, 3_000)
                workers.faults.unreachable += workers.ids.random(random)
                delay(random.nextLong(0, 1_500))
                stopLeader()
                lead(randomPollDelays())
                delay(random.nextLong(0, 1_000))
                workers.faults.unreachable.clear()
                delay(random.nextLong(0, 1_000))
                stopLeader()
                lead(randomPollDelays())
                store.faults.lostResponseShare = 0.0
            },
            FaultScenario("a partition of the store that does not respond during a takeover") {
                stopLeader()
                lead(randomPollDelays())
                store.faults.silentPartitions[leaderName] = setOf(random.nextInt(64).toString())
                delay(random.nextLong(500, 9_000))
                store.faults.silentPartitions.clear()
            },
            FaultScenario("a leader whose own partition does not respond") {
                store.faults.silentPartitions[leaderName] = setOf("lead")
                delay(random.nextLong(500, 6_000))
                if (random.nextBoolean()) {
                    stopLeader()
                    lead(randomPollDelays())
                }
                store.faults.silentPartitions.clear()
            },
        )

        private fun SchedulerSimulation.randomPollDelays(): (String) -> Long {
            val slow = workers.ids.random(random)
            val delayMs = random.nextLong(0, 600)
            return { if (it == slow) delayMs else 0 }
        }

        /** A worker announces that it will leave, runs on, and leaves; another one takes its place. */
        private suspend fun SchedulerSimulation.drainAndLeave(afterMs: Long = 0, meanwhile: suspend () -> Unit = {}) {
            val id = workers.ids.random(random)
            workers.drain(id)
            delay(afterMs)
            meanwhile()
            delay(random.nextLong(500, 3_000))
            workers.crash(id)
            unlist(id)
            workers.boot("$id+")
        }

        @JvmStatic
        fun cases(): List<Array<Any>> = SCENARIOS.filter {
            ONLY in it.name
        }.flatMap { scenario -> (FIRST_SEED until FIRST_SEED + SEEDS).map { arrayOf(scenario, it) } }
    }
}
