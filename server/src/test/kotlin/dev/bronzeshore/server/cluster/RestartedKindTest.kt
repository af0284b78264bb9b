/** Workers that start again under their id as another kind: nothing starts there by what the former boot was. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.WorkerChange
import dev.bronzeshore.core.cluster.WorkerEntry
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val LABEL = "a"
private const val JOBS = 12
private const val SUBMIT_PERIOD_MS = 100L
private const val WITHIN_MS = 15_000L

/** Time after which the leader has noticed a restart. */
private const val NOTICED_MS = 2_000L

class RestartedKindTest {
    internal data class Case(
        val name: String,
        val isGang: Boolean = false,
        val change: (WorkerEntry) -> WorkerEntry,
        /** What happens after the restart; the entry of the new boot comes later. */
        val meanwhile: suspend SchedulerSimulation.(former: WorkerEntry, change: (WorkerEntry) -> WorkerEntry) -> Unit =
            { _, _ -> },
    ) {
        override fun toString() = name
    }

    /** Guards against starts by the labels and the capacity that the former boot of a worker had. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `nothing starts on a new boot before its entry has come`(case: Case) = runTest {
        val simulation = SchedulerSimulation(this, seed = 95, workerCount = 2)
        simulation.workers.ids.toList().forEach { id ->
            simulation.workers.update(id) { it.copy(labels = setOf(LABEL)) }
        }
        simulation.lead()
        simulation.awaitRoster()
        delay(NOTICED_MS)
        val former = simulation.entryOf("w0")
        simulation.workers.restart("w0", case.change)
        case.meanwhile(simulation, former, case.change)
        delay(NOTICED_MS)
        repeat(JOBS) { number ->
            val needy = step(
                replicas = 2,
                cores = 8,
                durationMs = 900,
                isGang = case.isGang,
            ).copy(requiredLabel = LABEL)
            simulation.submit(idOf(number), needy)
            delay(SUBMIT_PERIOD_MS)
        }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
        simulation.workers.announce("w0")
        repeat(JOBS) { number ->
            assertTrue(simulation.awaitPhase(idOf(number), JobPhase.COMPLETED, WITHIN_MS), "end of job $number")
        }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    /** Guards against a worker that stays unused after its restart. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a new boot is used once its entry has come`(case: Case) = runTest {
        val simulation = SchedulerSimulation(this, seed = 96, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.restart("w0", case.change)
        delay(NOTICED_MS)
        simulation.workers.announce("w0")
        delay(NOTICED_MS)
        simulation.submit(idOf(0), step(replicas = 18, cores = 1, durationMs = 2_000))
        awaitUntil { simulation.workers.checker.starts == 18 }
        assertTrue("w0" in simulation.workers.checker.workersOf(idOf(0)))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    companion object {
        private fun idOf(number: Int) = number.toString(16).padStart(16, '0')

        private val otherKind: (WorkerEntry) -> WorkerEntry = { it.copy(labels = setOf("b")) }
        private val smaller: (WorkerEntry) -> WorkerEntry =
            { it.copy(labels = setOf(LABEL), capacity = Resources(3_000, it.capacity.memoryBytes)) }

        @JvmStatic
        fun cases(): List<Any> = listOf(
            Case("another label", change = otherKind),
            Case("a smaller capacity", change = smaller),
            Case("another label, gangs", isGang = true, change = otherKind),
            Case("an entry of the former boot comes late", change = otherKind) { former, _ ->
                delay(NOTICED_MS)
                workers.onChange(WorkerChange("w0", former))
            },
            Case("a second restart", change = otherKind) { _, change ->
                delay(NOTICED_MS)
                workers.restart("w0", change)
            },
            Case("a new leader", change = otherKind) { _, _ ->
                delay(NOTICED_MS)
                awaitRoster()
                stopLeader()
                lead()
            },
            Case("a new leader before the restart is noticed", change = otherKind) { _, _ ->
                stopLeader()
                lead()
            },
        )
    }
}
