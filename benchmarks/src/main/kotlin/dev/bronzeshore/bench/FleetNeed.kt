/** How many workers a steady feed of mixed sizes needs so that jobs hardly wait. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.placement.PlacementEngine

/** The real use of a part is a seeded fraction of its declared processors; reports come every [REPORT_EVERY_MS]. */
internal class FleetNeed(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        val jobs = feedOf(JobFeed(seed))
        val bound = lowerBound(jobs)
        val learned = smallestFleet(jobs, reports = true) { PlacementEngine(it) }
        val declared = smallestFleet(jobs, reports = false) { PlacementEngine(it) }
        val firstFit = smallestFleet(jobs, reports = false) { BaselinePlacer(BaselinePlacer.FIRST_FIT) }
        val random = smallestFleet(jobs, reports = false) { BaselinePlacer(BaselinePlacer.random(seed)) }
        val leastLoaded = smallestFleet(jobs, reports = false) { BaselinePlacer(BaselinePlacer.LEAST_LOADED) }
        val size = "${jobs.size} jobs in ${LENGTH_MS / 60_000} min, mean wait at most $MEAN_WAIT_MS ms"
        sink(Figure("fleet_need_lower_bound", bound, "workers", seed, size))
        sink(Figure("fleet_need_engine", declared.toDouble(), "workers", seed, size))
        sink(Figure("fleet_need_engine_with_reports", learned.toDouble(), "workers", seed, size))
        sink(Figure("fleet_need_first_fit", firstFit.toDouble(), "workers", seed, size))
        sink(Figure("fleet_need_fewer_than_first_fit", 1 - declared.toDouble() / firstFit, "ratio", seed, size))
        sink(Figure("fleet_need_fewer_with_reports", 1 - learned.toDouble() / firstFit, "ratio", seed, size))
        sink(Figure("fleet_need_fewer_than_random", 1 - declared.toDouble() / random, "ratio", seed, size))
        sink(Figure("fleet_need_fewer_than_least_loaded", 1 - declared.toDouble() / leastLoaded, "ratio", seed, size))
    }

    private fun feedOf(feed: JobFeed): List<WorkItem> = List(JOBS) { number ->
        val isLarge = feed.random.nextInt(6) == 0
        val cores = if (isLarge) feed.random.nextInt(8, 25) else feed.random.nextInt(1, 8)
        val gib = cores * feed.random.nextInt(1, 5)
        val runMs = feed.random.nextLong(30_000, 180_000)
        val atMs = Feeder.START_MS + number * LENGTH_MS / JOBS
        val profile = JobProfile("plan0", JobFeed.BATCH, Urgency.PATIENT)
        feed.job(profile, Resources(cores * 1_000L, gib * GIB), atMs, runMs)
    }

    private fun lowerBound(jobs: List<WorkItem>): Double =
        jobs.sumOf { it.size.processorsMillicores.toDouble() * it.declaredRunMs } /
            (LENGTH_MS.toDouble() * WORKER.processorsMillicores)

    private fun smallestFleet(jobs: List<WorkItem>, reports: Boolean, makePlacer: (ClockMs) -> WorkPlacer): Int {
        var tooFew = FEWEST
        var enough = MOST
        while (enough - tooFew > 1) {
            val middle = (tooFew + enough) / 2
            if (meanWaitMs(jobs, middle, reports, makePlacer) <= MEAN_WAIT_MS) enough = middle else tooFew = middle
        }
        return enough
    }

    private fun meanWaitMs(
        jobs: List<WorkItem>,
        workers: Int,
        reports: Boolean,
        makePlacer: (ClockMs) -> WorkPlacer,
    ): Double {
        val feeder = Feeder(makePlacer)
        var waitedMs = 0L
        feeder.onStart = { waitedMs += it.startedAtMs - it.item.acceptedAtMs }
        repeat(workers) { feeder.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        feeder.placer.setAllowances(JobFeed(seed, 1).allowances(WORKER * workers * 2))
        var reportAtMs = Feeder.START_MS
        for (job in jobs) {
            feeder.advanceTo(job.acceptedAtMs)
            if (reports && feeder.nowMs >= reportAtMs) {
                reportAtMs = feeder.nowMs + REPORT_EVERY_MS
                feeder.reportAll { usedBy(it) }
            }
            feeder.submit(job)
            feeder.decideAll()
        }
        feeder.advanceTo(feeder.nowMs + SETTLE_MS)
        return if (feeder.waitingCount > 0) Double.MAX_VALUE else waitedMs.toDouble() / jobs.size
    }

    /** Declared sizes are far off: parts use between a fifth and the whole of them. */
    private fun usedBy(part: Running): Resources {
        val percent = 20 + (part.item.jobId.hashCode() and Int.MAX_VALUE) % 81
        val size = part.item.size
        return Resources(size.processorsMillicores * percent / 100, size.memoryBytes)
    }

    private companion object {
        const val JOBS = 3_000
        const val LENGTH_MS = 900_000L
        const val SETTLE_MS = 600_000L
        const val MEAN_WAIT_MS = 5_000.0
        const val REPORT_EVERY_MS = 2_000L
        const val FEWEST = 40
        const val MOST = 200
        val WORKER = Resources(32_000, 128 * GIB)
    }
}
