/** Measures how long urgent jobs wait when the cluster is full of patient jobs and stopping a part takes 2 s. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.placement.PlacementEngine
import org.HdrHistogram.Histogram

internal class UrgentStart(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        val generator = JobGenerator(seed)
        val simulation = PlacementSimulation({ PlacementEngine(it) }, stopMs = 2_000)
        val waits = Histogram(3)
        simulation.onStart = { started ->
            if (started.item.urgency ==
                Urgency.URGENT
            ) {
                waits.recordValue(started.startedAtMs - started.item.acceptedAtMs)
            }
        }
        generator.fleet(WORKERS).forEach { simulation.placer.putWorker(it) }
        simulation.placer.setAllowances(
            generator.allowances(Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)),
        )
        repeat(BACKGROUND_JOBS) {
            val profile = JobProfile(generator.randomPlan(), JobGenerator.BATCH, Urgency.PATIENT)
            simulation.submit(generator.job(profile, generator.randomSize(), simulation.nowMs, LONG_RUN_MS))
        }
        simulation.decideAll()
        val parts = simulation.runningCount
        var submitted = 0
        repeat(SECONDS) {
            repeat(generator.random.nextInt(MAX_PER_SECOND + 1)) {
                val profile = JobProfile(generator.randomPlan(), JobGenerator.BATCH, Urgency.URGENT)
                simulation.submit(generator.job(profile, generator.randomSize(), simulation.nowMs, SHORT_RUN_MS))
                submitted++
            }
            simulation.decideAll()
            simulation.advanceTo(simulation.nowMs + 1_000)
        }
        simulation.advanceTo(simulation.nowMs + 20_000)
        val size = "$WORKERS workers, $parts parts, $submitted urgent jobs"
        sink(Figure("urgent_start_p50", waits.getValueAtPercentile(50.0).toDouble(), "ms", seed, size))
        sink(Figure("urgent_start_p99", waits.getValueAtPercentile(99.0).toDouble(), "ms", seed, size))
        sink(Figure("urgent_start_max", waits.maxValue.toDouble(), "ms", seed, size))
        sink(Figure("urgent_not_started", (submitted - waits.totalCount).toDouble(), "jobs", seed, size))
        sink(
            Figure("urgent_disturbances_per_start", simulation.preemptions.toDouble() / submitted, "parts", seed, size),
        )
    }

    private companion object {
        const val WORKERS = 800
        const val BACKGROUND_JOBS = 9_000
        const val SECONDS = 300
        const val MAX_PER_SECOND = 6
        const val LONG_RUN_MS = 7_200_000L
        const val SHORT_RUN_MS = 30_000L
    }
}
