/** Measures how many placements one core makes per second of wall-clock time, and the cost of a mass cancellation. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.Resources
import dev.bronzeshore.placement.PlacementEngine

internal class Throughput(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        val generator = JobGenerator(seed)
        val simulation = PlacementSimulation({ PlacementEngine(it) }, runMsOf = { Long.MAX_VALUE / 2 })
        val active = ArrayList<RunningPart>()
        simulation.onStart = { active.add(it) }
        generator.fleet(WORKERS).forEach { simulation.placer.putWorker(it) }
        simulation.placer.setAllowances(
            generator.allowances(Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)),
        )
        var placed = 0L
        var elapsedNs = 0L
        for (round in 0 until ROUNDS) {
            if (round == ROUNDS / 3) {
                placed = 0
                elapsedNs = 0
            }
            simulation.advanceTo(simulation.nowMs + 10, stepMs = 10)
            val jobs = List(BURST) {
                generator.job(generator.randomProfile(), generator.randomSize(), simulation.nowMs, 60_000)
            }
            elapsedNs += timed {
                while (active.size > PARTS) simulation.endNow(active.swapRemove(generator.random.nextInt(active.size)))
                jobs.forEach { simulation.submit(it) }
                placed += simulation.decide(BURST).placements.size
            }
        }
        sink(Figure("placements_per_second", placed * 1e9 / elapsedNs, "1/s", seed, "$WORKERS workers, $PARTS parts"))
        measureMassCancel()
    }

    /** Cancels a third of a long queue at once. */
    private fun measureMassCancel() {
        val generator = JobGenerator(seed)
        val simulation = PlacementSimulation({ PlacementEngine(it) }, runMsOf = { Long.MAX_VALUE / 2 })
        generator.fleet(WORKERS).forEach { simulation.placer.putWorker(it) }
        simulation.placer.setAllowances(
            generator.allowances(Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)),
        )
        val jobs = List(QUEUED) {
            generator.job(generator.randomProfile(), generator.randomSize(), simulation.nowMs, 60_000)
        }
        jobs.forEach { simulation.submit(it) }
        simulation.decideAll()
        val cancelled = jobs.takeLast(QUEUED / 3).shuffled(generator.random)
        val elapsedNs = timed { cancelled.forEach { simulation.placer.cancel(it.jobId) } }
        sink(
            Figure(
                "cancel_mean",
                elapsedNs / 1e3 / cancelled.size,
                "us",
                seed,
                "${cancelled.size} of $QUEUED queued jobs",
            ),
        )
    }

    private companion object {
        const val QUEUED = 30_000
        const val WORKERS = 800
        const val PARTS = 4_600
        const val BURST = 64
        const val ROUNDS = 6_000
    }
}
