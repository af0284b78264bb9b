/** How long gangs wait for all their parts in a cell at 90% load. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.placement.PlacementEngine
import org.HdrHistogram.Histogram

internal class GangStart(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        val engine = measure { PlacementEngine(it) }
        val firstFit = measure { BaselinePlacer(BaselinePlacer.FIRST_FIT) }
        report("gang_start", engine)
        report("gang_start_first_fit", firstFit)
    }

    private class Result(val gangs: Histogram, val singles: Histogram, val waiting: Int)

    private fun measure(makePlacer: (ClockMs) -> WorkPlacer): Result {
        val feed = JobFeed(seed, plans = 4)
        val feeder = Feeder(makePlacer)
        val gangs = Histogram(3)
        val singles = Histogram(3)
        var submittedGangs = 0
        val startedGangs = HashSet<String>()
        feeder.onStart = { started ->
            val isGang = started.item.kind == JobFeed.GANG
            if (isGang) startedGangs.add(started.item.jobId)
            (if (isGang) gangs else singles).recordValue(started.startedAtMs - started.item.acceptedAtMs)
        }
        repeat(WORKERS) { feeder.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        feeder.placer.setAllowances(feed.allowances(WORKER * WORKERS))
        var debt = 0.0
        while (feeder.nowMs < Feeder.START_MS + LENGTH_MS) {
            debt += LOAD * WORKERS * WORKER.processorsMillicores * STEP_MS
            while (debt > 0) {
                val isGang = feed.random.nextInt(GANG_EVERY) == 0
                if (isGang) submittedGangs++
                debt -= if (isGang) submitGang(feed, feeder) else submitSingle(feed, feeder)
            }
            feeder.decideAll()
            feeder.advanceTo(feeder.nowMs + STEP_MS)
        }
        return Result(gangs, singles, submittedGangs - startedGangs.size)
    }

    private fun submitSingle(feed: JobFeed, feeder: Feeder): Double {
        val cores = feed.random.nextInt(1, 7)
        val size = Resources(cores * 1_000L, cores * 3 * GIB)
        val runMs = feed.random.nextLong(5_000, 60_000)
        feeder.submit(feed.job(JobProfile(feed.anyPlan(), JobFeed.BATCH), size, feeder.nowMs, runMs))
        return size.processorsMillicores.toDouble() * runMs
    }

    private fun submitGang(feed: JobFeed, feeder: Feeder): Double {
        val size = Resources(8_000, 24 * GIB)
        val runMs = feed.random.nextLong(10_000, 60_000)
        val parts = feed.random.nextInt(8, 41)
        feeder.submit(feed.job(JobProfile(feed.anyPlan(), JobFeed.GANG, parts = parts), size, feeder.nowMs, runMs))
        return size.processorsMillicores.toDouble() * runMs * parts
    }

    private fun report(name: String, result: Result) {
        val size = "$WORKERS workers, 90% load, ${result.gangs.totalCount} gang parts"
        sink(Figure("${name}_p50", result.gangs.getValueAtPercentile(50.0).toDouble(), "ms", seed, size))
        sink(Figure("${name}_p99", result.gangs.getValueAtPercentile(99.0).toDouble(), "ms", seed, size))
        sink(Figure("${name}_max", result.gangs.maxValue.toDouble(), "ms", seed, size))
        sink(Figure("${name}_single_p99", result.singles.getValueAtPercentile(99.0).toDouble(), "ms", seed, size))
        sink(Figure("${name}_still_waiting", result.waiting.toDouble(), "gangs", seed, size))
    }

    private companion object {
        const val WORKERS = 100
        val WORKER = Resources(32_000, 128 * GIB)
        const val LOAD = 0.9
        const val GANG_EVERY = 80
        const val STEP_MS = 200L
        const val LENGTH_MS = 900_000L
    }
}
