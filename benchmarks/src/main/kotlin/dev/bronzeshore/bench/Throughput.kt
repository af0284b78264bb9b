/** How many placements one core makes in a second of wall-clock time. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.Resources
import dev.bronzeshore.placement.PlacementEngine

internal class Throughput(private val seed: Long, private val sink: FigureSink) {
    fun run() {
        val feed = JobFeed(seed)
        val feeder = Feeder({ PlacementEngine(it) }, runMsOf = { Long.MAX_VALUE / 2 })
        val started = ArrayList<Running>()
        feeder.onStart = { started.add(it) }
        feed.fleet(WORKERS).forEach { feeder.placer.putWorker(it) }
        feeder.placer.setAllowances(
            feed.allowances(Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)),
        )
        var placed = 0L
        var spentNs = 0L
        for (round in 0 until ROUNDS) {
            if (round == ROUNDS / 3) {
                placed = 0
                spentNs = 0
            }
            feeder.advanceTo(feeder.nowMs + 10, stepMs = 10)
            val jobs = List(BURST) { feed.job(feed.anyProfile(), feed.anySize(), feeder.nowMs, 60_000) }
            spentNs += timed {
                while (started.size > PARTS) feeder.endNow(started.swapRemove(feed.random.nextInt(started.size)))
                jobs.forEach { feeder.submit(it) }
                placed += feeder.decide(BURST).placements.size
            }
        }
        sink(Figure("placements_per_second", placed * 1e9 / spentNs, "1/s", seed, "$WORKERS workers, $PARTS parts"))
        cancelWave()
    }

    /** A third of a long queue is cancelled at once. */
    private fun cancelWave() {
        val feed = JobFeed(seed)
        val feeder = Feeder({ PlacementEngine(it) }, runMsOf = { Long.MAX_VALUE / 2 })
        feed.fleet(WORKERS).forEach { feeder.placer.putWorker(it) }
        feeder.placer.setAllowances(
            feed.allowances(Resources(Long.MAX_VALUE / 8, Long.MAX_VALUE / 8, Long.MAX_VALUE / 8)),
        )
        val jobs = List(QUEUED) { feed.job(feed.anyProfile(), feed.anySize(), feeder.nowMs, 60_000) }
        jobs.forEach { feeder.submit(it) }
        feeder.decideAll()
        val wave = jobs.takeLast(QUEUED / 3).shuffled(feed.random)
        val spentNs = timed { wave.forEach { feeder.placer.cancel(it.jobId) } }
        sink(Figure("cancel_mean", spentNs / 1e3 / wave.size, "us", seed, "${wave.size} of $QUEUED queued jobs"))
    }

    private companion object {
        const val QUEUED = 30_000
        const val WORKERS = 800
        const val PARTS = 4_600
        const val BURST = 64
        const val ROUNDS = 6_000
    }
}
