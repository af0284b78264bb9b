/** Searches seeded mixes of gangs, services, floods and new leaders for work that waits beside idle workers. */
package dev.bronzeshore.server.cluster

import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.StepName
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

private const val LABEL = "large"
private const val JOBS = 120
private const val MEAN_PAUSE_MS = 250
private const val LAST_JOB_MS = 20_000L
private const val ENDLESS_MS = 600_000L
private val SEEDS = 1..40

class IdleWorkerSearchTest {
    /** Guards against capacity that is kept for longer than users allow, by whatever mix of work. */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `no step waits beside idle workers that it fits`(seed: Int) = runTest {
        val random = Random(seed)
        val simulation = SchedulerSimulation(this, seed.toLong(), workerCount = random.nextInt(3, 16))
        val monitor = IdleWorkerMonitor(simulation)
        simulation.lead()
        simulation.awaitRoster()
        simulation.workers.ids.filter { random.nextInt(3) == 0 }
            .forEach { id -> simulation.workers.update(id) { it.copy(labels = setOf(LABEL)) } }
        backgroundScope.launch { monitor.watch() }
        val small = ArrayList<String>()
        repeat(JOBS) { number ->
            val id = (number + 1).toString(16).padStart(16, '0')
            submitDrawn(simulation, random, id, small)
            if (random.nextInt(40) == 0) {
                simulation.stopLeader()
                simulation.lead()
            }
            delay(random.nextInt(2 * MEAN_PAUSE_MS).toLong())
        }
        delay(LAST_JOB_MS)
        val violations = monitor.violations + simulation.workers.checker.violations
        val open = small.filter { simulation.phaseOf(it) != JobPhase.COMPLETED }
        assertEquals(emptyList<String>(), violations + open.map { "the small job $it is open" })
    }

    /** Submits a job of a drawn kind; [small] collects the jobs that all workers can hold. */
    private fun submitDrawn(simulation: SchedulerSimulation, random: Random, id: String, small: MutableList<String>) {
        val priority = random.nextInt(3)
        when (random.nextInt(10)) {
            0 -> simulation.submit(id, drawnGang(random, simulation.workers.ids.size), priority = priority)
            1 -> {
                val service = step(replicas = 1, cores = 1, ENDLESS_MS).copy(isService = true)
                if (random.nextInt(6) == 0) simulation.submit(id, service, priority = priority)
            }
            else -> {
                val first = step(random.nextInt(1, 4), cores = random.nextInt(1, 5), random.nextLong(200, 2_000))
                val second = first.copy(after = listOf(0))
                simulation.runTimesMs[StepName(id, 0, 0)] = first.estimateMs * random.nextInt(1, 4)
                val steps = if (random.nextInt(4) == 0) arrayOf(first, second) else arrayOf(first)
                simulation.submit(id, *steps, priority = priority)
                small += id
            }
        }
    }

    /** A gang that the workers can hold, or that they cannot. */
    private fun drawnGang(random: Random, workers: Int): StepDescription {
        val members = random.nextInt(2, 3 * workers)
        val gang = step(members, cores = random.nextInt(2, 17), random.nextLong(300, 3_000), isGang = true)
        return gang.copy(
            maxPerWorker = random.nextInt(3),
            requiredLabel = if (random.nextInt(4) == 0) LABEL else null,
        )
    }

    companion object {
        @JvmStatic
        fun seeds(): List<Int> = SEEDS.toList()
    }
}
