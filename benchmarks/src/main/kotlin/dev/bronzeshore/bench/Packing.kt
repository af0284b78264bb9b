/** Measures how many workers a set of jobs of mixed sizes occupies. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.placement.PlacementEngine

internal class Packing(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        for (mix in MIXES) measure(mix)
    }

    /** A size distribution for one set of jobs, in whole cores and gibibytes. */
    private class Mix(val name: String, val sizeOf: (JobGenerator) -> Resources)

    private fun measure(mix: Mix) {
        val generator = JobGenerator(seed)
        val jobs = List(JOBS) {
            generator.job(
                JobProfile("plan0", JobGenerator.BATCH, Urgency.PATIENT),
                mix.sizeOf(generator),
                PlacementSimulation.START_MS,
                60_000,
            )
        }
        val bound = lowerBound(jobs)
        val engine = workersUsed(jobs) { PlacementEngine(it) }
        val firstFit = workersUsed(jobs) { BaselinePlacer(BaselinePlacer.FIRST_FIT) }
        val random = workersUsed(jobs) { BaselinePlacer(BaselinePlacer.random(seed)) }
        val leastLoaded = workersUsed(jobs) { BaselinePlacer(BaselinePlacer.LEAST_LOADED) }
        val size = "$JOBS jobs, lower bound $bound workers"
        sink(Figure("packing_${mix.name}_to_lower_bound", engine.toDouble() / bound, "ratio", seed, size))
        sink(Figure("packing_${mix.name}_first_fit_to_lower_bound", firstFit.toDouble() / bound, "ratio", seed, size))
        sink(Figure("packing_${mix.name}_fewer_than_first_fit", 1 - engine.toDouble() / firstFit, "ratio", seed, size))
        sink(Figure("packing_${mix.name}_fewer_than_random", 1 - engine.toDouble() / random, "ratio", seed, size))
        sink(
            Figure(
                "packing_${mix.name}_fewer_than_least_loaded",
                1 - engine.toDouble() / leastLoaded,
                "ratio",
                seed,
                size,
            ),
        )
    }

    private fun lowerBound(jobs: List<WorkItem>): Int {
        val total = jobs.fold(Resources.NONE) { sum, job -> sum + job.size }
        return maxOf(
            ceilDiv(total.processorsMillicores, WORKER.processorsMillicores),
            ceilDiv(total.memoryBytes, WORKER.memoryBytes),
        ).toInt()
    }

    private fun ceilDiv(total: Long, each: Long): Long = (total + each - 1) / each

    /** Submits all jobs to a fleet that is large enough and counts the workers that run at least one part. */
    private fun workersUsed(jobs: List<WorkItem>, createPlacer: (ClockMs) -> WorkPlacer): Int {
        val simulation = PlacementSimulation(createPlacer)
        val used = HashSet<String>()
        simulation.onStart = { used.add(it.placement.workerId) }
        repeat(WORKERS) { simulation.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        simulation.placer.setAllowances(JobGenerator(seed, 1).allowances(WORKER * WORKERS))
        jobs.forEach { simulation.submit(it) }
        simulation.decideAll()
        check(simulation.runningCount == jobs.size) { "${simulation.runningCount} of ${jobs.size} jobs were placed" }
        return used.size
    }

    private companion object {
        const val JOBS = 2_000
        const val WORKERS = 2_000
        val WORKER = Resources(32_000, 128 * GIB)

        fun size(cores: Int, gib: Int): Resources = Resources(cores * 1_000L, gib * GIB)

        val MIXES = listOf(
            Mix("large") { size(it.random.nextInt(3, 20), it.random.nextInt(12, 80)) },
            Mix("mixed") { generator ->
                val large = generator.random.nextInt(4) == 0
                if (large) size(generator.random.nextInt(8, 20), generator.random.nextInt(32, 80)) else small(generator)
            },
            Mix("skewed") { generator ->
                val needsMemory = generator.random.nextBoolean()
                val most = generator.random.nextInt(4, 14)
                if (needsMemory) size(most / 4, most * 4) else size(most, most)
            },
        )

        private fun small(generator: JobGenerator): Resources =
            size(generator.random.nextInt(1, 8), generator.random.nextInt(2, 32))
    }
}
