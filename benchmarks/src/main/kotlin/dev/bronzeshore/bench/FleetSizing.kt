/** Measures how many workers a steady arrival of jobs of mixed sizes needs to keep the mean wait short. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.placement.PlacementEngine

/** Parts use a fraction of their declared processors, seeded by the job id, and report every [REPORT_PERIOD_MS]. */
internal class FleetSizing(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        val jobs = generateJobs(JobGenerator(seed))
        val bound = lowerBound(jobs)
        val withReports = findSmallestFleet(jobs, reports = true) { PlacementEngine(it) }
        val declared = findSmallestFleet(jobs, reports = false) { PlacementEngine(it) }
        val firstFit = findSmallestFleet(jobs, reports = false) { BaselinePlacer(BaselinePlacer.FIRST_FIT) }
        val random = findSmallestFleet(jobs, reports = false) { BaselinePlacer(BaselinePlacer.random(seed)) }
        val leastLoaded = findSmallestFleet(jobs, reports = false) { BaselinePlacer(BaselinePlacer.LEAST_LOADED) }
        val size = "${jobs.size} jobs in ${DURATION_MS / 60_000} min, mean wait at most $MAX_MEAN_WAIT_MS ms"
        sink(Figure("fleet_need_lower_bound", bound, "workers", seed, size))
        sink(Figure("fleet_need_engine", declared.toDouble(), "workers", seed, size))
        sink(Figure("fleet_need_engine_with_reports", withReports.toDouble(), "workers", seed, size))
        sink(Figure("fleet_need_first_fit", firstFit.toDouble(), "workers", seed, size))
        sink(Figure("fleet_need_fewer_than_first_fit", 1 - declared.toDouble() / firstFit, "ratio", seed, size))
        sink(Figure("fleet_need_fewer_with_reports", 1 - withReports.toDouble() / firstFit, "ratio", seed, size))
        sink(Figure("fleet_need_fewer_than_random", 1 - declared.toDouble() / random, "ratio", seed, size))
        sink(Figure("fleet_need_fewer_than_least_loaded", 1 - declared.toDouble() / leastLoaded, "ratio", seed, size))
    }

    private fun generateJobs(generator: JobGenerator): List<WorkItem> = List(JOBS) { number ->
        val isLarge = generator.random.nextInt(6) == 0
        val cores = if (isLarge) generator.random.nextInt(8, 25) else generator.random.nextInt(1, 8)
        val gib = cores * generator.random.nextInt(1, 5)
        val runMs = generator.random.nextLong(30_000, 180_000)
        val atMs = PlacementSimulation.START_MS + number * DURATION_MS / JOBS
        val profile = JobProfile("plan0", JobGenerator.BATCH, Urgency.PATIENT)
        generator.job(profile, Resources(cores * 1_000L, gib * GIB), atMs, runMs)
    }

    private fun lowerBound(jobs: List<WorkItem>): Double =
        jobs.sumOf { it.size.processorsMillicores.toDouble() * it.declaredRunMs } /
            (DURATION_MS.toDouble() * WORKER.processorsMillicores)

    private fun findSmallestFleet(jobs: List<WorkItem>, reports: Boolean, createPlacer: (ClockMs) -> WorkPlacer): Int {
        var tooFew = MIN_WORKERS
        var enough = MAX_WORKERS
        while (enough - tooFew > 1) {
            val mid = (tooFew + enough) / 2
            if (meanWaitMs(jobs, mid, reports, createPlacer) <= MAX_MEAN_WAIT_MS) enough = mid else tooFew = mid
        }
        return enough
    }

    private fun meanWaitMs(
        jobs: List<WorkItem>,
        workers: Int,
        reports: Boolean,
        createPlacer: (ClockMs) -> WorkPlacer,
    ): Double {
        val simulation = PlacementSimulation(createPlacer)
        var waitedMs = 0L
        simulation.onStart = { waitedMs += it.startedAtMs - it.item.acceptedAtMs }
        repeat(workers) { simulation.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        simulation.placer.setAllowances(JobGenerator(seed, 1).allowances(WORKER * workers * 2))
        var nextReportAtMs = PlacementSimulation.START_MS
        for (job in jobs) {
            simulation.advanceTo(job.acceptedAtMs)
            if (reports && simulation.nowMs >= nextReportAtMs) {
                nextReportAtMs = simulation.nowMs + REPORT_PERIOD_MS
                simulation.reportUsageOfAll { usedBy(it) }
            }
            simulation.submit(job)
            simulation.decideAll()
        }
        simulation.advanceTo(simulation.nowMs + DRAIN_MS)
        return if (simulation.waitingCount > 0) Double.MAX_VALUE else waitedMs.toDouble() / jobs.size
    }

    /** Declared sizes are inaccurate: parts use between a fifth and all of their processors. */
    private fun usedBy(part: RunningPart): Resources {
        val percent = 20 + (part.item.jobId.hashCode() and Int.MAX_VALUE) % 81
        val size = part.item.size
        return Resources(size.processorsMillicores * percent / 100, size.memoryBytes)
    }

    private companion object {
        const val JOBS = 3_000
        const val DURATION_MS = 900_000L
        const val DRAIN_MS = 600_000L
        const val MAX_MEAN_WAIT_MS = 5_000.0
        const val REPORT_PERIOD_MS = 2_000L
        const val MIN_WORKERS = 40
        const val MAX_WORKERS = 200
        val WORKER = Resources(32_000, 128 * GIB)
    }
}
