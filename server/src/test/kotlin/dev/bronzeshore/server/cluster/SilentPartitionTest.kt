/** Partitions of the store that do not respond, among them the one with the leader's term and journal. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.StateAnswer
import dev.bronzeshore.core.cluster.SubmitAnswer
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.intake.createStoreJobOperations
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

private const val JOB = "00000000000000aa"
private const val OBSERVATION_MS = 3_000L
private val LEADER_PARTITION = setOf(Tables.LEADER_PARTITION)

class SilentPartitionTest {
    private fun id(number: Int) = number.toString(16).padStart(16, '0')

    /** An id other than [jobId] whose job belongs to the same partition. */
    private fun idInPartitionOf(jobId: String): String = generateSequence(0) { it + 1 }.map { id(it) }
        .first { it != jobId && Tables.intakePartitionOf(it) == Tables.intakePartitionOf(jobId) }

    /**
     * Guards against an outage of one partition that stops all new work: no job that was stored meanwhile started, and
     * no end was shown, because both need a write to the leader's partition.
     */
    @Test
    fun `jobs start and end while the leader's partition is silent`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 31)
        simulation.lead()
        simulation.awaitRoster()
        simulation.store.faults.silentPartitions["leader-1"] = LEADER_PARTITION
        simulation.submit(JOB, step(replicas = 4, cores = 4, durationMs = 300))
        awaitUntil(withinMs = 2_500) { simulation.runner?.phaseOf(JOB) == JobPhase.COMPLETED }
    }

    /** Guards against submissions that fail for as long as the partition of their job does not respond. */
    @Test
    fun `a job whose partition is silent is stored in its alternate partition, starts and ends once`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 33)
        simulation.lead()
        simulation.awaitRoster()
        val silent = setOf(Tables.intakePartitionOf(JOB))
        simulation.store.faults.silentPartitions["front"] = silent
        val jobs = createStoreJobOperations(
            simulation.store.clientFor("front"),
            { simulation.nowMs() },
            { true },
            backgroundScope,
        )
        val job = simulation.newJob(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        assertEquals(SubmitAnswer.Accepted, jobs.submit(job))
        assertTrue(simulation.awaitPhase(JOB, JobPhase.COMPLETED, withinMs = 2_000))
        assertEquals(StateAnswer.Found(JobPhase.COMPLETED), jobs.stateOf(JOB))
        // The caller repeats its request through a process that reaches both partitions.
        simulation.store.faults.silentPartitions.clear()
        assertEquals(SubmitAnswer.Accepted, jobs.submit(job))
        delay(OBSERVATION_MS)
        assertEquals(2, simulation.workers.checker.starts)
    }

    /** Guards against a job that is unknown to callers, or cannot be cancelled, because its rows are elsewhere. */
    @Test
    fun `a job in its alternate partition can be queried and cancelled`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 34)
        simulation.store.faults.silentPartitions["front"] = setOf(Tables.intakePartitionOf(JOB))
        val jobs = createStoreJobOperations(
            simulation.store.clientFor("front"),
            { simulation.nowMs() },
            { true },
            backgroundScope,
        )
        jobs.submit(simulation.newJob(JOB, step(replicas = 2, cores = 4, durationMs = 60_000)))
        assertEquals(StateAnswer.Found(JobPhase.PENDING), jobs.stateOf(JOB))
        assertEquals(StateAnswer.Unavailable, jobs.stateOf(idInPartitionOf(JOB)))
        simulation.lead()
        awaitUntil { simulation.workers.checker.runningCount == 2 }
        assertTrue(jobs.cancel(JOB))
        assertTrue(simulation.awaitPhase(JOB, JobPhase.CANCELLED, withinMs = 2_000))
    }

    /** Guards against a job that runs again because its end was stored in its own partition only. */
    @Test
    fun `the next leader knows an end that was stored in the job's partition`() = runTest {
        val simulation = SchedulerSimulation(this, seed = 32, workerCount = 2)
        simulation.lead()
        simulation.awaitRoster()
        simulation.store.faults.silentPartitions["leader-1"] = LEADER_PARTITION
        simulation.submit(JOB, step(replicas = 2, cores = 4, durationMs = 300))
        awaitUntil { simulation.runner?.phaseOf(JOB) == JobPhase.COMPLETED }
        simulation.stopLeader()
        // The workers cannot tell the next leader of the ends.
        simulation.workers.ids.toList().forEach { simulation.workers.crash(it) }
        simulation.workers.boot("w9")
        simulation.lead()
        delay(OBSERVATION_MS)
        assertEquals(2, simulation.workers.checker.starts)
    }

    /**
     * Guards against two leaders that both start a job: the former one cannot reach its own partition, does not learn
     * that it has been replaced there, and can still write to the partitions of the jobs.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `a replaced leader whose partition is silent starts nothing twice`(seed: Long) = runTest {
        val simulation = SchedulerSimulation(this, seed)
        simulation.lead()
        simulation.awaitRoster()
        backgroundScope.launch {
            for (number in 0..80) {
                simulation.submit(id(number), step(2, 1, 2_000))
                delay(50 + simulation.random.nextLong(20))
            }
        }
        delay(500)
        simulation.store.faults.silentPartitions["leader-1"] = LEADER_PARTITION
        delay(1_500)
        // The former leader goes on while the new one, whose calls take long, puts its fences in place. The new one
        // does not reach most of the workers at first, so that they still obey the former one.
        simulation.store.faults.latencyMsOf["leader-2"] = 300
        simulation.lead(pollDelayMs = { worker -> if (worker == "w5") 0 else 1_500 })
        delay(2_000)
        simulation.store.faults.latencyMsOf.clear()
        simulation.store.faults.silentPartitions.clear()
        for (number in 0..80) assertTrue(simulation.awaitPhase(id(number), JobPhase.COMPLETED, withinMs = 30_000))
        assertEquals(emptyList<String>(), simulation.workers.checker.violations)
    }
}
