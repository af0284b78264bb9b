/** Seeded runs of leaders with faults: no task runs twice, no worker is overfilled, and all work gets done. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.time.Duration.Companion.minutes

private const val TROUBLE_MS = 25_000L
private const val RECOVERY_MS = 60_000L
private const val SEEDS = 6L

/** Guards against tasks that run twice, overfilled workers, and work that is lost or trackInFlight as done without an end. */
class SchedulerSimulationTest {
    /** A kind of trouble, done at a random moment. */
    internal data class Trouble(val name: String, val act: suspend SchedulerSimulation.() -> Unit) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("cases")
    internal fun `keeps its promises under`(trouble: Trouble, seed: Long) = runTest(timeout = 2.minutes) {
        val trial = SchedulerSimulation(this, seed)
        trial.lead()
        playDay(trial, trouble)
        trial.workers.faults.appliedLate = 0.0
        trial.workers.faults.cutOff.clear()
        trial.workers.faults.stalled.clear()
        trial.store.faults.isDown = false
        trial.store.faults.lostAnswers = 0.0
        delay(RECOVERY_MS)
        assertEquals(emptyList<String>(), trial.workers.judge.violations)
        val unfinished = trial.jobIds.associateWith { trial.phaseOf(it) }
            .filterValues { it != JobPhase.COMPLETED && it != JobPhase.CANCELLED }
        assertEquals(emptyMap<String, JobPhase?>(), unfinished)
    }

    private suspend fun TestScope.playDay(trial: SchedulerSimulation, trouble: Trouble) {
        var number = 0
        while (trial.nowMs() < TROUBLE_MS) {
            delay(trial.random.nextLong(50, 400))
            submitRandom(trial, number++)
            if (trial.random.nextInt(8) == 0) trouble.act(trial)
        }
    }

    private fun submitRandom(trial: SchedulerSimulation, number: Int) {
        val random = trial.random
        val id = number.toString(16).padStart(16, '0')
        val first =
            step(random.nextInt(1, 6), random.nextInt(1, 6), random.nextLong(100, 2_000), random.nextInt(3) == 0)
        val second = step(random.nextInt(1, 4), random.nextInt(1, 4), random.nextLong(100, 1_000), after = listOf(0))
        if (random.nextBoolean()) trial.submit(id, first) else trial.submit(id, first, second)
        if (random.nextInt(20) == 0) trial.cancel(id)
    }

    companion object {
        private val TROUBLES = listOf(
            Trouble("no trouble") {},
            Trouble("leaders that die") {
                stopLeader()
                delay(random.nextLong(100, 3_000))
                lead()
            },
            Trouble("two leaders at a time") { lead() },
            Trouble("workers that crash and start again") {
                val id = workers.ids.random(random)
                workers.crash(id)
                delay(random.nextLong(200, 3_000))
                workers.boot(id)
            },
            Trouble("workers that are cut off and run on") {
                workers.faults.cutOff += workers.ids.random(random)
                delay(random.nextLong(500, 9_000))
                workers.faults.cutOff.clear()
            },
            Trouble("orders that are carried out late") { workers.faults.appliedLate = 0.1 },
            Trouble("a leader that dies while a worker is cut off") {
                workers.faults.cutOff += workers.ids.random(random)
                delay(random.nextLong(0, 2_000))
                stopLeader()
                lead()
                delay(random.nextLong(500, 9_000))
                workers.faults.cutOff.clear()
            },
            Trouble("a store that is down") {
                store.faults.isDown = true
                delay(random.nextLong(500, 6_000))
                store.faults.isDown = false
            },
            Trouble("a store that forgets its history after a takeover") {
                stopLeader()
                lead()
                delay(random.nextLong(100, 1_000))
                store.faults.historyFrom = store.newestVersion
            },
            Trouble("answers of the store that are lost") { store.faults.lostAnswers = 0.3 },
            Trouble("workers that stand still") {
                workers.faults.stalled += workers.ids.random(random)
                delay(random.nextLong(500, 6_000))
                workers.faults.stalled.clear()
            },
        )

        @JvmStatic
        fun cases(): List<Array<Any>> = TROUBLES.flatMap { trouble -> (1..SEEDS).map { arrayOf(trouble, it) } }
    }
}
