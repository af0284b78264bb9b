/** Limits of client accounts over takeovers, late start requests and changes of the configuration. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.ClientAccount
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.KeyDigest
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

private const val ACCOUNT = "a"
private const val SMALL_ACCOUNT = "b"
private const val OBSERVATION_MS = 3_000L

/** Eight tasks of 4 processors. */
private val LIMIT = Resources(32_000, 1_000)

@OptIn(ExperimentalCoroutinesApi::class)
class AccountLimitTest {
    private fun limit(simulation: SchedulerSimulation, limit: Resources, weight: Double = 1.0) {
        val account = ClientAccount(ACCOUNT, limit, weight)
        val small = ClientAccount(SMALL_ACCOUNT, WORKER_CAPACITY * 100, weight)
        simulation.accounts = ClientAccounts(mapOf(KeyDigest.of("k") to account, KeyDigest.of("l") to small))
    }

    private fun id(number: Int) = number.toString(16).padStart(16, '0')

    private fun submit(simulation: SchedulerSimulation, numbers: IntRange, account: String? = ACCOUNT) =
        numbers.forEach { simulation.submit(id(it), step(4, 4, 1_000), account = account) }

    /**
     * Guards against a new leader that starts tasks up to an account's limit although runs of the former leader exist
     * on workers that have not reported yet, and against start requests that are applied late and are not counted.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `takeovers and late requests keep an account within its limit`(seed: Long) = runTest {
        val simulation = SchedulerSimulation(this, seed)
        limit(simulation, LIMIT)
        simulation.workers.checker.accountLimits[ACCOUNT] = LIMIT
        simulation.workers.faults.delayedRequestShare = 0.1
        simulation.lead()
        simulation.awaitRoster()
        backgroundScope.launch {
            for (number in 0..60) {
                submit(simulation, number..number)
                delay(150)
            }
        }
        repeat(3) {
            delay(OBSERVATION_MS)
            simulation.stopLeader()
            simulation.lead(pollDelayMs = { worker -> if (worker == "w0") 900 else 0 })
        }
        for (number in 0..60) assertTrue(simulation.awaitPhase(id(number), JobPhase.COMPLETED, withinMs = 60_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against starts under a limit that a new version of the configuration has lowered. */
    @Test
    fun `a lowered limit holds for the next starts`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 5)
        limit(simulation, LIMIT)
        simulation.lead()
        simulation.awaitRoster()
        submit(simulation, 0..5)
        awaitUntil { simulation.workers.checker.runningCount == 8 }
        val lowered = Resources(8_000, 1_000)
        limit(simulation, lowered)
        awaitUntil { simulation.workers.checker.runningCount <= 2 }
        simulation.workers.checker.accountLimits[ACCOUNT] = lowered
        for (number in 0..5) assertTrue(simulation.awaitPhase(id(number), JobPhase.COMPLETED, withinMs = 30_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against a gang that never starts because small tasks take each place that its account's limit leaves. */
    @Test
    fun `a gang starts at its account's limit while small tasks keep arriving`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 7)
        limit(simulation, LIMIT)
        simulation.workers.checker.accountLimits[ACCOUNT] = LIMIT
        simulation.lead()
        simulation.awaitRoster()
        backgroundScope.launch {
            for (number in 1..200) {
                submit(simulation, number..number)
                delay(200)
            }
        }
        awaitUntil { simulation.workers.checker.runningCount == 8 }
        val gang = step(replicas = 6, cores = 4, durationMs = 1_000, isGang = true)
        simulation.submit(id(0), gang, priority = 1, account = ACCOUNT)
        assertTrue(simulation.awaitPhase(id(0), JobPhase.COMPLETED, withinMs = 6_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against a hot account that makes a small one wait: its backlog is ten times what the workers hold. */
    @Test
    fun `a small account does not wait behind a hot one`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 6, workerCount = 4)
        limit(simulation, WORKER_CAPACITY * 100)
        simulation.lead()
        simulation.awaitRoster()
        submit(simulation, 0..39)
        awaitUntil { simulation.workers.checker.runningCount == 16 }
        submit(simulation, 40..40, account = SMALL_ACCOUNT)
        assertTrue(simulation.awaitPhase(id(40), JobPhase.COMPLETED, withinMs = 2_500))
    }
}
