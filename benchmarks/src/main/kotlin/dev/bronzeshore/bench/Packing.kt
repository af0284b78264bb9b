/** How many workers a set of mixed sizes needs. */
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

    /** Sizes of one set of jobs, from whole cores and gibibytes. */
    private class Mix(val name: String, val sizeOf: (JobFeed) -> Resources)

    private fun measure(mix: Mix) {
        val feed = JobFeed(seed)
        val jobs = List(JOBS) {
            feed.job(JobProfile("plan0", JobFeed.BATCH, Urgency.PATIENT), mix.sizeOf(feed), Feeder.START_MS, 60_000)
        }
        val bound = lowerBound(jobs)
        val ours = workersUsed(jobs) { PlacementEngine(it) }
        val firstFit = workersUsed(jobs) { BaselinePlacer(BaselinePlacer.FIRST_FIT) }
        val random = workersUsed(jobs) { BaselinePlacer(BaselinePlacer.random(seed)) }
        val leastLoaded = workersUsed(jobs) { BaselinePlacer(BaselinePlacer.LEAST_LOADED) }
        val size = "$JOBS jobs, lower bound $bound workers"
        sink(Figure("packing_${mix.name}_to_lower_bound", ours.toDouble() / bound, "ratio", seed, size))
        sink(Figure("packing_${mix.name}_first_fit_to_lower_bound", firstFit.toDouble() / bound, "ratio", seed, size))
        sink(Figure("packing_${mix.name}_fewer_than_first_fit", 1 - ours.toDouble() / firstFit, "ratio", seed, size))
        sink(Figure("packing_${mix.name}_fewer_than_random", 1 - ours.toDouble() / random, "ratio", seed, size))
        sink(
            Figure(
                "packing_${mix.name}_fewer_than_least_loaded",
                1 - ours.toDouble() / leastLoaded,
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

    /** Submits all jobs to a fleet that is large enough and counts the workers that got work. */
    private fun workersUsed(jobs: List<WorkItem>, makePlacer: (ClockMs) -> WorkPlacer): Int {
        val feeder = Feeder(makePlacer)
        val used = HashSet<String>()
        feeder.onStart = { used.add(it.placement.workerId) }
        repeat(WORKERS) { feeder.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        feeder.placer.setAllowances(JobFeed(seed, 1).allowances(WORKER * WORKERS))
        jobs.forEach { feeder.submit(it) }
        feeder.decideAll()
        check(feeder.runningCount == jobs.size) { "${feeder.runningCount} of ${jobs.size} jobs were placed" }
        return used.size
    }

    private companion object {
        const val JOBS = 2_000
        const val WORKERS = 2_000
        val WORKER = Resources(32_000, 128 * GIB)

        fun size(cores: Int, gib: Int): Resources = Resources(cores * 1_000L, gib * GIB)

        val MIXES = listOf(
            Mix("large") { size(it.random.nextInt(3, 20), it.random.nextInt(12, 80)) },
            Mix("mixed") { feed ->
                val isLarge = feed.random.nextInt(4) == 0
                if (isLarge) size(feed.random.nextInt(8, 20), feed.random.nextInt(32, 80)) else small(feed)
            },
            Mix("skewed") { feed ->
                val needsMemory = feed.random.nextBoolean()
                val most = feed.random.nextInt(4, 14)
                if (needsMemory) size(most / 4, most * 4) else size(most, most)
            },
        )

        private fun small(feed: JobFeed): Resources = size(feed.random.nextInt(1, 8), feed.random.nextInt(2, 32))
    }
}
