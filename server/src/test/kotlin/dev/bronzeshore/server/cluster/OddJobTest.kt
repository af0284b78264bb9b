/** Jobs with extreme numbers: leaders keep working, also after takeovers while a worker does not answer. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.ClientAccount
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobSchedule
import dev.bronzeshore.core.cluster.KeyDigest
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

private const val ACCOUNT = "a"
private const val ODD_JOBS = 3
private const val OBSERVATION_MS = 300L

class OddJobTest {
    class Case(val name: String, val step: StepDescription, val schedule: JobSchedule? = null) {
        override fun toString() = name
    }

    /** Guards against a job whose numbers overflow in the planner, which ends each leader while the job is open. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `a job with extreme numbers leaves leaders and other jobs alone`(case: Case) = runTest {
        val simulation = SchedulerSimulation(this, seed = 51, workerCount = 3)
        val account = ClientAccount(ACCOUNT, WORKER_CAPACITY * 100, weight = 1.0)
        simulation.accounts = ClientAccounts(mapOf(KeyDigest.of("k") to account))
        simulation.lead()
        simulation.awaitRoster()
        repeat(ODD_JOBS) { submitOdd(simulation, 1 + it, case) }
        submit(simulation, 11)
        assertTrue(simulation.awaitPhase(id(11), JobPhase.COMPLETED, withinMs = 3_000), "first term")
        simulation.workers.faults.unreachable += "w0"
        repeat(2) { round ->
            submitOdd(simulation, 5 + round, case)
            delay(OBSERVATION_MS)
            simulation.stopLeader()
            simulation.lead()
            submit(simulation, 12 + round)
            assertTrue(simulation.awaitPhase(id(12 + round), JobPhase.COMPLETED, withinMs = 12_000), "takeover $round")
        }
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }

    private fun id(number: Int) = number.toString(16).padStart(16, '0')

    private fun submit(simulation: SchedulerSimulation, number: Int) =
        simulation.submit(id(number), step(replicas = 2, cores = 4, durationMs = 300), account = ACCOUNT)

    private fun submitOdd(simulation: SchedulerSimulation, number: Int, case: Case) {
        val job = simulation.newJob(id(number), case.step, account = ACCOUNT)
        val odd = job.copy(description = job.description.copy(schedule = case.schedule))
        simulation.store.put(Tables.acceptedRow(job.jobId), encodeRow(AcceptedJob.serializer(), odd))
    }

    companion object {
        private const val MAX = Long.MAX_VALUE
        private const val MIN = Long.MIN_VALUE
        private val SMALL = step(replicas = 2, cores = 1, durationMs = 100)

        private fun sized(size: Resources) = SMALL.copy(size = size)

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("largest processors", sized(Resources(MAX, 1))),
            Case("largest memory", sized(Resources(1, MAX))),
            Case("largest accelerators", sized(Resources(1, 1, MAX))),
            Case("largest processors of a gang", sized(Resources(MAX, 1)).copy(isGang = true)),
            Case("largest idle processors", sized(Resources(MAX, 1)).copy(usesIdleProcessors = true)),
            Case("largest estimate", SMALL.copy(estimateMs = MAX)),
            Case("smallest estimate", SMALL.copy(estimateMs = MIN)),
            Case("negative tasks on one worker", SMALL.copy(maxPerWorker = Int.MIN_VALUE)),
            Case("negative disruption budget", SMALL.copy(disruptionBudget = Int.MIN_VALUE)),
            Case("largest period", SMALL, JobSchedule(MAX, MAX, 3)),
            Case("smallest start", SMALL, JobSchedule(MIN, MIN, 3)),
            Case("no occurrence", SMALL, JobSchedule(0, 0, 0)),
        )
    }
}
