/** How long one decision takes, at several fleet sizes, with a cell that has room and with a blocked queue. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.placement.PlacementEngine
import org.HdrHistogram.Histogram

internal class DecisionLatency(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        // Without this the first fleet is measured partly in interpreted code, which makes the growth look smaller.
        isWarmingUp = true
        measure(FLEETS.last(), EVENTS, "engine") { PlacementEngine(it) }
        isWarmingUp = false
        val medians = FLEETS.associateWith { workers -> measure(workers, EVENTS, "engine") { PlacementEngine(it) } }
        val first = medians.getValue(FLEETS.first())
        val last = medians.getValue(FLEETS.last())
        val size = "${FLEETS.first()} to ${FLEETS.last()} workers"
        sink(Figure("decision_median_growth", last / first, "ratio", seed, size))
        val baselines = mapOf(
            "first_fit" to BaselinePlacer.FIRST_FIT,
            "random" to BaselinePlacer.random(seed),
            "least_loaded" to BaselinePlacer.LEAST_LOADED,
        )
        for ((name, chooser) in baselines) {
            val median = measure(FLEETS.last(), BASELINE_EVENTS, name) { BaselinePlacer(chooser) }
            sink(Figure("decision_p50_${name}_to_engine", median / last, "ratio", seed, "${FLEETS.last()} workers"))
        }
        measureBlocked()
    }

    private var isWarmingUp = false

    /** Steady state: each event ends one part and submits one job; both are timed with their round. */
    private fun measure(workers: Int, events: Int, name: String, makePlacer: (ClockMs) -> WorkPlacer): Double {
        val histogram = Histogram(3)
        val parts = workers * PARTS_PER_FLEET / FLEETS.last()
        val feed = JobFeed(seed)
        val feeder = Feeder(makePlacer, runMsOf = { Long.MAX_VALUE / 2 })
        val started = ArrayList<Running>()
        feeder.onStart = { started.add(it) }
        feed.fleet(workers).forEach { feeder.placer.putWorker(it) }
        feeder.placer.setAllowances(feed.allowances(UNLIMITED))
        repeat(parts) { submitAny(feed, feeder) }
        feeder.decideAll()
        for (event in 0 until events) {
            if (event == events / 3) histogram.reset()
            feeder.advanceTo(feeder.nowMs + 3, stepMs = 3)
            histogram.recordValue(timed { submitAny(feed, feeder) })
            val victim = started.swapRemove(feed.random.nextInt(started.size))
            feeder.endNow(victim)
            histogram.recordValue(timed { feeder.decide() })
        }
        val size = "$workers workers, ${feeder.runningCount} parts"
        report("decision_$name", histogram, size)
        return histogram.getValueAtPercentile(50.0) / NANOS_PER_MICRO
    }

    private fun submitAny(feed: JobFeed, feeder: Feeder) {
        feeder.submit(feed.job(feed.anyProfile(), feed.anySize(), feeder.nowMs, 60_000))
        feeder.decide()
    }

    /** A full cell with thousands of jobs waiting: each end is followed by one round. */
    private fun measureBlocked() {
        val histogram = Histogram(3)
        val feed = JobFeed(seed)
        val feeder = Feeder({ PlacementEngine(it) }, runMsOf = { Long.MAX_VALUE / 2 })
        val started = ArrayList<Running>()
        feeder.onStart = { started.add(it) }
        feed.fleet(FLEETS.last()).forEach { feeder.placer.putWorker(it) }
        feeder.placer.setAllowances(feed.allowances(UNLIMITED))
        repeat(PARTS_PER_FLEET * 2 + BLOCKED_JOBS) {
            feeder.submit(feed.job(feed.anyProfile(), feed.anySize(), feeder.nowMs, 60_000))
        }
        feeder.decideAll()
        for (event in 0 until EVENTS) {
            if (event == EVENTS / 3) histogram.reset()
            feeder.advanceTo(feeder.nowMs + 3, stepMs = 3)
            feeder.submit(feed.job(feed.anyProfile(), feed.anySize(), feeder.nowMs, 60_000))
            feeder.endNow(started.swapRemove(feed.random.nextInt(started.size)))
            histogram.recordValue(timed { feeder.decide() })
        }
        report(
            "decision_blocked_queue",
            histogram,
            "${FLEETS.last()} workers, ${feeder.runningCount} parts, queue full",
        )
    }

    private fun report(name: String, histogram: Histogram, size: String) {
        if (isWarmingUp) return
        val percentiles = listOf("p50" to 50.0, "p99" to 99.0, "p999" to 99.9)
        for ((label, percentile) in percentiles) {
            val micros = histogram.getValueAtPercentile(percentile) / NANOS_PER_MICRO
            sink(Figure("${name}_$label", micros, "us", seed, size))
        }
    }

    private companion object {
        val FLEETS = listOf(30, 100, 300, 800)
        val UNLIMITED = Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)
        const val PARTS_PER_FLEET = 4_600
        const val EVENTS = 60_000
        const val BASELINE_EVENTS = 15_000
        const val BLOCKED_JOBS = 2_000
        const val NANOS_PER_MICRO = 1_000.0
    }
}

/** Returns how many nanoseconds [action] took. */
internal inline fun timed(action: () -> Unit): Long {
    val fromNs = System.nanoTime()
    action()
    return System.nanoTime() - fromNs
}

/** Removes the element at [index] by putting the last one in its place. */
internal fun <T> ArrayList<T>.swapRemove(index: Int): T {
    val last = removeAt(lastIndex)
    return if (index == size) last else set(index, last)
}
