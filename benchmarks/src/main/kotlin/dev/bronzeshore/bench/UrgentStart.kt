/** How long urgent work waits when the cell is full of patient work and a stop takes 2 s. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.placement.PlacementEngine
import org.HdrHistogram.Histogram

internal class UrgentStart(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        val feed = JobFeed(seed)
        val feeder = Feeder({ PlacementEngine(it) }, stopMs = 2_000)
        val waits = Histogram(3)
        feeder.onStart = { started ->
            if (started.item.urgency ==
                Urgency.URGENT
            ) {
                waits.recordValue(started.startedAtMs - started.item.acceptedAtMs)
            }
        }
        feed.fleet(WORKERS).forEach { feeder.placer.putWorker(it) }
        feeder.placer.setAllowances(
            feed.allowances(Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)),
        )
        repeat(FILLING_JOBS) {
            val profile = JobProfile(feed.anyPlan(), JobFeed.BATCH, Urgency.PATIENT)
            feeder.submit(feed.job(profile, feed.anySize(), feeder.nowMs, LONG_RUN_MS))
        }
        feeder.decideAll()
        val parts = feeder.runningCount
        var submitted = 0
        repeat(SECONDS) {
            repeat(feed.random.nextInt(MAX_PER_SECOND + 1)) {
                val profile = JobProfile(feed.anyPlan(), JobFeed.BATCH, Urgency.URGENT)
                feeder.submit(feed.job(profile, feed.anySize(), feeder.nowMs, SHORT_RUN_MS))
                submitted++
            }
            feeder.decideAll()
            feeder.advanceTo(feeder.nowMs + 1_000)
        }
        feeder.advanceTo(feeder.nowMs + 20_000)
        val size = "$WORKERS workers, $parts parts, $submitted urgent jobs"
        sink(Figure("urgent_start_p50", waits.getValueAtPercentile(50.0).toDouble(), "ms", seed, size))
        sink(Figure("urgent_start_p99", waits.getValueAtPercentile(99.0).toDouble(), "ms", seed, size))
        sink(Figure("urgent_start_max", waits.maxValue.toDouble(), "ms", seed, size))
        sink(Figure("urgent_not_started", (submitted - waits.totalCount).toDouble(), "jobs", seed, size))
        sink(Figure("urgent_disturbances_per_start", feeder.preemptions.toDouble() / submitted, "parts", seed, size))
    }

    private companion object {
        const val WORKERS = 800
        const val FILLING_JOBS = 9_000
        const val SECONDS = 300
        const val MAX_PER_SECOND = 6
        const val LONG_RUN_MS = 7_200_000L
        const val SHORT_RUN_MS = 30_000L
    }
}
