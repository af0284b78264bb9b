/** Admission of jobs by the memory that leaders have for them. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobSchedule
import dev.bronzeshore.core.cluster.MAX_HELD_BYTES
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.encodeRow
import dev.bronzeshore.core.cluster.footprintBytes
import dev.bronzeshore.intake.JobAdmission
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

private const val PROCESSES = 5
private const val SUBMISSIONS = 300
private const val SUBMISSION_PERIOD_MS = 50L
private const val ALLOWANCE_PERIOD = 25
private const val TAKEOVER_PERIOD = 60
private const val FAR_AHEAD_MS = 6_000_000L

/** Longer than the time until the leader knows of an accepted job. */
private const val LEADER_KNOWS_MS = 6_000L

class JobAdmissionTest {
    class Case(
        val allowanceBytes: Long,
        val isReserved: Boolean?,
        val state: StateAnswer,
        val expected: (SubmitAnswer?) -> Boolean,
    )

    /** Guards against jobs that are accepted without memory, and against a false rejection of one that is stored. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `a job is admitted if there is memory for it or it is stored`(case: Case) = runTest {
        val admission = JobAdmission({ 0 }, { _, _ -> case.isReserved }, { case.state })
        admission.updateAllowance(case.allowanceBytes)
        val answer = admission.refusalOf(SchedulerSimulation(this, seed = 1).newJob("a", STEP))
        assertTrue(case.expected(answer), "$answer")
    }

    /** Guards against an allowance that is used twice, and against memory of a rejected job that is not given back. */
    @Test
    fun `admitted jobs use up the allowance until the leader knows them`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 2)
        val jobs = List(3) { simulation.newJob("$it", STEP) }
        val bytes = jobs.first().description.footprintBytes
        val admission = JobAdmission(simulation::nowMs, { _, _ -> false }, { StateAnswer.NoSuchJob })
        admission.updateAllowance(2 * bytes)
        assertNull(admission.refusalOf(jobs[0]))
        assertNull(admission.refusalOf(jobs[1]))
        assertTrue(admission.refusalOf(jobs[2]) is SubmitAnswer.Rejected)
        admission.release(jobs[1])
        assertNull(admission.refusalOf(jobs[2]))
        delay(LEADER_KNOWS_MS)
        assertTrue(admission.refusalOf(jobs[1]) is SubmitAnswer.Rejected)
        admission.updateAllowance(bytes)
        assertNull(admission.refusalOf(jobs[1]))
    }

    /**
     * Guards against leaders that run out of memory one after the other, because several processes accept jobs that fit
     * one by one, but not all of them together.
     */
    @Test
    fun `all accepted jobs fit in the memory of each leader`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 3, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        val reserve: suspend (String, Long) -> Boolean? = { id, bytes -> simulation.runner?.reserveMemory(id, bytes) }
        val processes = List(PROCESSES) { JobAdmission(simulation::nowMs, reserve, { StateAnswer.NoSuchJob }) }
        val random = Random(3)
        val accepted = ArrayList<AcceptedJob>()
        val refused = ArrayList<SubmitAnswer>()
        repeat(SUBMISSIONS) { number ->
            if (number % ALLOWANCE_PERIOD == 0) {
                simulation.runner?.allowanceBytes?.let { bytes ->
                    processes.forEach { it.updateAllowance(bytes / PROCESSES) }
                }
            }
            if (number % TAKEOVER_PERIOD == TAKEOVER_PERIOD - 1) {
                simulation.stopLeader()
                simulation.lead()
            }
            val job = simulation.scheduledJob(number, replicas = 1 + random.nextInt(4_000))
            val answer = processes.random(random).refusalOf(job)
            if (answer != null) refused += answer else accepted += job
            if (answer == null) simulation.store.put(Tables.acceptedRow(job.jobId), job.toRow())
            delay(SUBMISSION_PERIOD_MS)
        }
        delay(LEADER_KNOWS_MS)
        val heldBytes = simulation.runner?.memoryUse?.heldBytes ?: 0
        assertEquals(accepted.sumOf { it.description.footprintBytes }, heldBytes)
        assertTrue(heldBytes in MAX_HELD_BYTES / 2..MAX_HELD_BYTES, "$heldBytes bytes")
        assertTrue(refused.any { it is SubmitAnswer.Rejected && it.code == ResultCode.MEMORY_FULL })
        accepted.forEach { simulation.cancel(it.jobId) }
        assertTrue(simulation.awaitPhase(accepted.last().jobId, JobPhase.CANCELLED, withinMs = LEADER_KNOWS_MS))
        assertEquals(true, simulation.runner?.reserveMemory("next", accepted.first().description.footprintBytes))
    }

    /** Guards against a leader that grants memory although it does not hear of the jobs that are stored. */
    @Test
    fun `a leader that cannot read the stored jobs grants no memory`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 4, workerCount = 1)
        simulation.lead()
        simulation.awaitRoster()
        awaitUntil { simulation.runner?.reserveMemory("a", 1) == true }
        simulation.store.faults.isDown = true
        awaitUntil { simulation.runner?.allowanceBytes == null }
        assertNull(simulation.runner?.reserveMemory("b", 1))
    }

    companion object {
        private val STEP = step(replicas = 10, cores = 1, durationMs = 100)

        private fun SchedulerSimulation.scheduledJob(number: Int, replicas: Int): AcceptedJob {
            val job = newJob(number.toString(16).padStart(16, '0'), step(replicas, cores = 1, durationMs = 100))
            return job.copy(description = job.description.copy(schedule = JobSchedule(FAR_AHEAD_MS, 0, 1)))
        }

        private fun AcceptedJob.toRow() = encodeRow(AcceptedJob.serializer(), this)

        private fun rejectedWith(code: ResultCode) = { answer: SubmitAnswer? ->
            answer is SubmitAnswer.Rejected && answer.code == code && answer.retryAfterMs > 0 && answer.reason != ""
        }

        @JvmStatic
        fun cases(): List<Case> {
            val absent = StateAnswer.NoSuchJob
            val stored = StateAnswer.Found(JobPhase.RUNNING)
            return listOf(
                Case(MAX_HELD_BYTES, null, absent) { it == null },
                Case(0, true, absent) { it == null },
                Case(0, false, absent, rejectedWith(ResultCode.MEMORY_FULL)),
                Case(0, null, absent, rejectedWith(ResultCode.NO_LEADER)),
                Case(0, false, stored) { it == null },
                Case(0, null, stored) { it == null },
                Case(0, false, StateAnswer.Unavailable) { it is SubmitAnswer.Unknown },
            )
        }
    }
}
