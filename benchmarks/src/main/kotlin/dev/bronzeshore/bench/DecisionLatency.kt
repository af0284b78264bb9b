/** Measures the latency of one decision at several fleet sizes, with free capacity and with a blocked queue. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.placement.PlacementEngine
import org.HdrHistogram.Histogram

internal class DecisionLatency(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        // Without a warm-up, the first fleet size is measured partly in interpreted code, which understates the growth.
        isWarmingUp = true
        measure(FLEET_SIZES.last(), EVENTS, "engine") { PlacementEngine(it) }
        isWarmingUp = false
        val medians =
            FLEET_SIZES.associateWith { workers -> measure(workers, EVENTS, "engine") { PlacementEngine(it) } }
        val first = medians.getValue(FLEET_SIZES.first())
        val last = medians.getValue(FLEET_SIZES.last())
        val size = "${FLEET_SIZES.first()} to ${FLEET_SIZES.last()} workers"
        sink(Figure("decision_median_growth", last / first, "ratio", seed, size))
        val baselines = mapOf(
            "first_fit" to BaselinePlacer.FIRST_FIT,
            "random" to BaselinePlacer.random(seed),
            "least_loaded" to BaselinePlacer.LEAST_LOADED,
        )
        for ((name, selector) in baselines) {
            val median = measure(FLEET_SIZES.last(), BASELINE_EVENTS, name) { BaselinePlacer(selector) }
            sink(
                Figure("decision_p50_${name}_to_engine", median / last, "ratio", seed, "${FLEET_SIZES.last()} workers"),
            )
        }
        measureBlocked()
    }

    private var isWarmingUp = false

    /** Steady state: each event ends one part and submits one job; both are timed, each including a placement round. */
    private fun measure(workers: Int, events: Int, name: String, createPlacer: (ClockMs) -> WorkPlacer): Double {
        val histogram = Histogram(3)
        val parts = workers * PARTS_IN_LARGEST_FLEET / FLEET_SIZES.last()
        val generator = JobGenerator(seed)
        val simulation = PlacementSimulation(createPlacer, runMsOf = { Long.MAX_VALUE / 2 })
        val started = ArrayList<RunningPart>()
        simulation.onStart = { started.add(it) }
        generator.fleet(workers).forEach { simulation.placer.putWorker(it) }
        simulation.placer.setAllowances(generator.allowances(UNLIMITED))
        repeat(parts) { submitRandom(generator, simulation) }
        simulation.decideAll()
        for (event in 0 until events) {
            if (event == events / 3) histogram.reset()
            simulation.advanceTo(simulation.nowMs + 3, stepMs = 3)
            histogram.recordValue(timed { submitRandom(generator, simulation) })
            val ending = started.swapRemove(generator.random.nextInt(started.size))
            simulation.endNow(ending)
            histogram.recordValue(timed { simulation.decide() })
        }
        val size = "$workers workers, ${simulation.runningCount} parts"
        report("decision_$name", histogram, size)
        return histogram.getValueAtPercentile(50.0) / NANOS_PER_MICRO
    }

    private fun submitRandom(generator: JobGenerator, simulation: PlacementSimulation) {
        simulation.submit(generator.job(generator.randomProfile(), generator.randomSize(), simulation.nowMs, 60_000))
        simulation.decide()
    }

    /** A full cluster with thousands of queued jobs: times the placement round after each part that ends. */
    private fun measureBlocked() {
        val histogram = Histogram(3)
        val generator = JobGenerator(seed)
        val simulation = PlacementSimulation({ PlacementEngine(it) }, runMsOf = { Long.MAX_VALUE / 2 })
        val started = ArrayList<RunningPart>()
        simulation.onStart = { started.add(it) }
        generator.fleet(FLEET_SIZES.last()).forEach { simulation.placer.putWorker(it) }
        simulation.placer.setAllowances(generator.allowances(UNLIMITED))
        repeat(PARTS_IN_LARGEST_FLEET * 2 + BLOCKED_JOBS) {
            simulation.submit(
                generator.job(generator.randomProfile(), generator.randomSize(), simulation.nowMs, 60_000),
            )
        }
        simulation.decideAll()
        for (event in 0 until EVENTS) {
            if (event == EVENTS / 3) histogram.reset()
            simulation.advanceTo(simulation.nowMs + 3, stepMs = 3)
            simulation.submit(
                generator.job(generator.randomProfile(), generator.randomSize(), simulation.nowMs, 60_000),
            )
            simulation.endNow(started.swapRemove(generator.random.nextInt(started.size)))
            histogram.recordValue(timed { simulation.decide() })
        }
        report(
            "decision_blocked_queue",
            histogram,
            "${FLEET_SIZES.last()} workers, ${simulation.runningCount} parts, queue full",
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
        val FLEET_SIZES = listOf(30, 100, 300, 800)
        val UNLIMITED = Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)
        const val PARTS_IN_LARGEST_FLEET = 4_600
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

/** Removes the element at [index] in constant time by replacing it with the last one. */
internal fun <T> ArrayList<T>.swapRemove(index: Int): T {
    val last = removeAt(lastIndex)
    return if (index == size) last else set(index, last)
}
