/** A leader that is cut off, together with workers, from the store and from the other processes. */
package dev.bronzeshore.server.cluster

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.time.Duration.Companion.minutes

private const val JOB = "00000000000000aa"

/** Longer than the leases of workers that nobody reaches. */
private const val AFTER_CUT_MS = 14_000L

class DataCentreCutTest {
    /** Guards against a task that starts again elsewhere while a leader without the store renews its lease. */
    @ParameterizedTest
    @CsvSource(
        "5000,  8000",
        "9000,  12000",
        "12000, 15000",
        "20000, 23000",
        "40000, 43000",
        "20000, 2000",
        "20000, 6000",
        "20000, 8000",
        "20000, 9500",
        "20000, 11000",
    )
    fun `a task runs once while its worker is cut off with the former leader`(cutMs: Long, runMs: Long) =
        runTest(timeout = 2.minutes) {
            val simulation = simulationWithOneRunOnW0(runMs)
            simulation.cutOff("leader-1", workers = setOf("w0"))
            simulation.lead()
            delay(cutMs)
            simulation.endCut()
            delay(runMs + AFTER_CUT_MS)
            assertEquals(emptyList<String>(), simulation.workers.checker.violations.take(3))
        }

    private suspend fun TestScope.simulationWithOneRunOnW0(runMs: Long): SchedulerSimulation {
        val simulation = SchedulerSimulation(this, seed = 21, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(JOB, step(replicas = 1, cores = 8, durationMs = runMs))
        awaitUntil { simulation.workers.checker.starts == 1 }
        simulation.workers.boot("w1")
        simulation.awaitRoster()
        delay(500)
        return simulation
    }
}
