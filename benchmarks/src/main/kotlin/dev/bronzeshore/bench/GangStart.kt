/** Measures how long gangs wait for all their parts in a cluster at 90% load. */
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

    private fun measure(createPlacer: (ClockMs) -> WorkPlacer): Result {
        val generator = JobGenerator(seed, plans = 4)
        val simulation = PlacementSimulation(createPlacer)
        val gangs = Histogram(3)
        val singles = Histogram(3)
        var submittedGangs = 0
        val startedGangs = HashSet<String>()
        simulation.onStart = { started ->
            val isGang = started.item.kind == JobGenerator.GANG
            if (isGang) startedGangs.add(started.item.jobId)
            (if (isGang) gangs else singles).recordValue(started.startedAtMs - started.item.acceptedAtMs)
        }
        repeat(WORKERS) { simulation.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        simulation.placer.setAllowances(generator.allowances(WORKER * WORKERS))
        var unsubmittedWork = 0.0
        while (simulation.nowMs < PlacementSimulation.START_MS + DURATION_MS) {
            unsubmittedWork += LOAD * WORKERS * WORKER.processorsMillicores * STEP_MS
            while (unsubmittedWork > 0) {
                val isGang = generator.random.nextInt(JOBS_PER_GANG) == 0
                if (isGang) submittedGangs++
                unsubmittedWork -=
                    if (isGang) submitGang(generator, simulation) else submitSingle(generator, simulation)
            }
            simulation.decideAll()
            simulation.advanceTo(simulation.nowMs + STEP_MS)
        }
        return Result(gangs, singles, submittedGangs - startedGangs.size)
    }

    private fun submitSingle(generator: JobGenerator, simulation: PlacementSimulation): Double {
        val cores = generator.random.nextInt(1, 7)
        val size = Resources(cores * 1_000L, cores * 3 * GIB)
        val runMs = generator.random.nextLong(5_000, 60_000)
        simulation.submit(
            generator.job(JobProfile(generator.randomPlan(), JobGenerator.BATCH), size, simulation.nowMs, runMs),
        )
        return size.processorsMillicores.toDouble() * runMs
    }

    private fun submitGang(generator: JobGenerator, simulation: PlacementSimulation): Double {
        val size = Resources(8_000, 24 * GIB)
        val runMs = generator.random.nextLong(10_000, 60_000)
        val parts = generator.random.nextInt(8, 41)
        simulation.submit(
            generator.job(
                JobProfile(generator.randomPlan(), JobGenerator.GANG, parts = parts),
                size,
                simulation.nowMs,
                runMs,
            ),
        )
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
        const val JOBS_PER_GANG = 80
        const val STEP_MS = 200L
        const val DURATION_MS = 900_000L
    }
}
