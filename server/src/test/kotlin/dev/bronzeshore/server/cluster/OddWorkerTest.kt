/** Entries of another writer in the table of the workers: leaders keep working, and takeovers do not wait for them. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.ClientAccount
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.KeyDigest
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val ACCOUNT = "a"

/** Largest value of a row in the platform's store. */
private const val ROW_BYTES = 65_536

/** Time in which a job of 300 ms ends that waits for nothing. */
private const val END_WITHIN_MS = 2_000L

/** Time within which the leader has read a change of the worker table. */
private const val OBSERVATION_MS = 1_000L

/** Longer than the leases that a former leader may have granted. */
private const val LEASES_OVER_MS = 10_500L

class OddWorkerTest {
    class Case(val name: String, val entry: String) {
        override fun toString() = name
    }

    /** Guards against one odd entry that ends leaders one after the other, or that keeps their tasks from starting. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `an odd entry affects neither a leader nor its successors`(case: Case) = runTest {
        val simulation = SchedulerSimulation(this, seed = 41, workerCount = 3)
        simulation.store.faults.maxValueBytes = ROW_BYTES
        val account = ClientAccount(ACCOUNT, WORKER_CAPACITY * 100, weight = 1.0)
        simulation.accounts = ClientAccounts(mapOf(KeyDigest.of("k") to account))
        simulation.putEntry("i-8", case.entry)
        simulation.lead()
        simulation.awaitRoster()
        runJob(simulation, 1, case.name)
        simulation.putEntry("i-9", case.entry)
        runJob(simulation, 2, "${case.name}, listed during the term")
        repeat(2) { round ->
            submit(simulation, 3 + round)
            simulation.stopLeader()
            simulation.lead()
            awaitEnd(simulation, 3 + round, "${case.name}, takeover $round")
            runJob(simulation, 5 + round, "${case.name}, after takeover $round")
        }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against takeovers that wait for a listed worker which has never answered and thus can run nothing. */
    @Test
    fun `a worker that never answers does not delay takeovers`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 42, workerCount = 3)
        simulation.lead()
        simulation.awaitRoster()
        simulation.putEntry("i-8", entry())
        delay(LEASES_OVER_MS)
        repeat(2) { round ->
            submit(simulation, 1 + round)
            simulation.stopLeader()
            simulation.lead()
            awaitEnd(simulation, 1 + round, "takeover $round")
            delay(LEASES_OVER_MS)
        }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /**
     * Guards against runs that are started again because the entry of their draining worker cannot be decoded, which
     * was taken for the removal of the entry and thus for the end of the worker.
     */
    @Test
    fun `a draining worker whose entry is overwritten keeps its runs`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 43, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.submit(id(1), step(replicas = 4, cores = 8, durationMs = 4_000))
        awaitUntil { simulation.workers.checker.starts == 4 }
        simulation.workers.drain("w0")
        delay(OBSERVATION_MS)
        simulation.putEntry("w0", "odd")
        assertTrue(simulation.awaitPhase(id(1), JobPhase.COMPLETED, withinMs = 6_000))
        assertEquals(4, simulation.workers.checker.starts)
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    private fun id(number: Int) = number.toString(16).padStart(16, '0')

    private fun submit(simulation: SchedulerSimulation, number: Int) =
        simulation.submit(id(number), step(replicas = 2, cores = 4, durationMs = 300), account = ACCOUNT)

    private suspend fun awaitEnd(simulation: SchedulerSimulation, number: Int, what: String) =
        assertTrue(simulation.awaitPhase(id(number), JobPhase.COMPLETED, END_WITHIN_MS), what)

    private suspend fun runJob(simulation: SchedulerSimulation, number: Int, what: String) {
        submit(simulation, number)
        awaitEnd(simulation, number, what)
    }

    companion object {
        private val SOUND = mapOf(
            "service" to "\"$SERVICE\"",
            "address" to "\"10.0.0.1:80\"",
            "zone" to "\"z\"",
            "state" to "\"ready\"",
            "born" to "7",
            "capacity" to """{"cpu":16000,"mem_mb":1}""",
        )

        private fun entry(vararg changes: Pair<String, String>): String =
            (SOUND + changes).entries.joinToString(",", "{", "}") { "\"${it.key}\":${it.value}" }

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("deeply nested", entry("capacity" to "[".repeat(10_000))),
            Case("number too large", entry("capacity" to """{"cpu":1e30,"mem_mb":1}""")),
            Case("largest number", entry("capacity" to """{"cpu":1,"mem_mb":1,"gpus":9223372036854775807}""")),
            Case("largest memory", entry("capacity" to """{"cpu":1,"mem_mb":8796093022207}""")),
            Case("port out of range", entry("address" to "\"10.0.0.1:99999\"")),
            Case("negative port", entry("address" to "\"10.0.0.1:-1\"")),
            Case("long service", entry("service" to "\"${"s".repeat(ROW_BYTES - 200)}\"")),
            Case("long address", entry("address" to "\"${"a".repeat(ROW_BYTES - 200)}:80\"")),
            Case("unknown state", entry("state" to "\"gone\"")),
        )
    }
}
