/** What other kinds keep of their share while one kind asks for ten times the cell. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.placement.PlacementEngine

internal class FloodShare(private val seed: Long, private val sink: FigureSink) {
    /** A kind with its demand as parts of its equal share; [flood] is replaced by a demand of ten cells. */
    private class Demand(val kind: String, val ofShare: Double, val urgency: Urgency)

    fun run() {
        isByPlan = false
        runAll("kinds")
        isByPlan = true
        runAll("plans")
    }

    /** True to give each kind a plan of its own, so that shares between plans are measured. */
    private var isByPlan: Boolean = false

    private fun runAll(level: String) {
        val alone = useByKind(flood = null)
        for (flood in listOf(Urgency.PATIENT, Urgency.URGENT)) {
            val flooded = useByKind(flood)
            val inUse = flooded.values.sum() / (shareCoreMs() * KINDS)
            sink(
                Figure(
                    "cell_used_by_${level}_in_${flood.name.lowercase()}_flood",
                    inUse,
                    "ratio",
                    seed,
                    "$WORKERS workers",
                ),
            )
            for (demand in OTHERS) {
                val entitled = minOf(alone.getValue(demand.kind), shareCoreMs())
                val kept = flooded.getValue(demand.kind) / entitled
                val name = "share_kept_by_${level}_in_${flood.name.lowercase()}_flood_${demand.kind}"
                sink(Figure(name, kept, "ratio", seed, "$WORKERS workers, flood of 10 cells"))
            }
        }
    }

    /** Processor time of each kind within the measured window. */
    private fun useByKind(flood: Urgency?): Map<String, Double> {
        val feeder = Feeder({ PlacementEngine(it) })
        val used = HashMap<String, Double>()
        feeder.onStart = { used.merge(it.item.kind.name, withinWindow(it, it.endsAtMs), Double::plus) }
        feeder.onEnd = { if (it.requeue) used.merge(it.item.kind.name, correction(it), Double::plus) }
        repeat(WORKERS) { feeder.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        val feeds = OTHERS.associateWith { JobFeed(seed + it.kind.hashCode()) }
        val floodFeed = JobFeed(seed)
        feeder.placer.setAllowances((OTHERS.map { it.kind } + FLOOD_KIND).map { allowanceOf(planOf(it)) }.distinct())
        var floodDebt = 0.0
        val debts = HashMap<Demand, Double>()
        while (feeder.nowMs < WINDOW_END_MS) {
            for ((demand, feed) in feeds) {
                val debt = debts.getOrDefault(demand, 0.0) + demand.ofShare * cores() / KINDS * STEP_MS
                debts[demand] = debt - submitWorth(feeder, feed, demand, debt)
            }
            if (flood != null) {
                val demand = Demand(FLOOD_KIND, 0.0, flood)
                floodDebt += FLOOD_CELLS * cores() * STEP_MS
                floodDebt -= submitWorth(feeder, floodFeed, demand, floodDebt)
            }
            feeder.decideAll()
            feeder.advanceTo(feeder.nowMs + STEP_MS)
        }
        return used
    }

    /** Submits jobs until they are worth [coreMs] of processor time, and returns what they are worth. */
    private fun submitWorth(feeder: Feeder, feed: JobFeed, demand: Demand, coreMs: Double): Double {
        var worth = 0.0
        val kind = WorkKind(demand.kind, Policy.BATCH)
        val step = if (demand.kind == FLOOD_KIND) FLOOD_CORES else feed.random.nextInt(1, LARGEST_CORES)
        while (worth < coreMs) {
            val size = Resources(step * 1_000L, step * 2 * GIB)
            val runMs = feed.random.nextLong(SHORTEST_MS, LONGEST_MS)
            val profile = JobProfile(planOf(demand.kind), kind, demand.urgency)
            feeder.submit(feed.job(profile, size, feeder.nowMs, runMs).let { it.copy(jobId = demand.kind + it.jobId) })
            worth += step.toDouble() * runMs
        }
        return worth
    }

    private fun withinWindow(part: Running, endMs: Long): Double {
        val fromMs = maxOf(part.startedAtMs, WINDOW_START_MS)
        val untilMs = minOf(endMs, WINDOW_END_MS)
        return maxOf(0L, untilMs - fromMs) * part.item.size.processorsMillicores / 1_000.0
    }

    /** A preempted part ran for less than was counted at its start. */
    private fun correction(part: Running): Double =
        withinWindow(part, part.endsAtMs) - withinWindow(part, part.plannedEndMs)

    private fun planOf(kind: String): String = if (isByPlan) "plan-$kind" else "plan"

    private fun allowanceOf(plan: String): Allowance = Allowance(plan, "dc", WORKER * WORKERS)

    private fun cores(): Double = WORKERS * WORKER.processorsMillicores / 1_000.0

    private fun shareCoreMs(): Double = cores() / KINDS * (WINDOW_END_MS - WINDOW_START_MS)

    private companion object {
        const val WORKERS = 100
        val WORKER = Resources(32_000, 128 * GIB)
        const val FLOOD_KIND = "flood"
        const val FLOOD_CELLS = 10.0
        const val FLOOD_CORES = 1
        const val LARGEST_CORES = 9
        const val SHORTEST_MS = 10_000L
        const val LONGEST_MS = 60_000L
        const val STEP_MS = 500L
        const val WINDOW_START_MS = Feeder.START_MS + 120_000
        const val WINDOW_END_MS = Feeder.START_MS + 420_000
        val OTHERS = listOf(
            Demand("half", 0.5, Urgency.NORMAL),
            Demand("most", 0.9, Urgency.PATIENT),
            Demand("double", 2.0, Urgency.NORMAL),
            Demand("urgent", 0.9, Urgency.URGENT),
        )
        val KINDS = OTHERS.size + 1
    }
}
