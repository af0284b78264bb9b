/** Measures which fraction of its fair share each kind receives while one kind demands ten times the cluster. */
package dev.bronzeshore.bench

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.placement.PlacementEngine

internal class FloodFairness(private val seed: Long, private val sink: FigureSink) {
    /** A kind with its demand as a fraction of the equal share; the flooding kind demands ten clusters instead. */
    private class Demand(val kind: String, val fairShareFraction: Double, val urgency: Urgency)

    fun run() {
        isByPlan = false
        runAll("kinds")
        isByPlan = true
        runAll("plans")
    }

    /** If true, each kind has its own plan, which measures the shares between plans instead of those between kinds. */
    private var isByPlan: Boolean = false

    private fun runAll(level: String) {
        val alone = coreMsByKind(flood = null)
        for (flood in listOf(Urgency.PATIENT, Urgency.URGENT)) {
            val flooded = coreMsByKind(flood)
            val inUse = flooded.values.sum() / (fairShareCoreMs() * KINDS)
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
                val entitledCoreMs = minOf(alone.getValue(demand.kind), fairShareCoreMs())
                val receivedFraction = flooded.getValue(demand.kind) / entitledCoreMs
                val name = "share_kept_by_${level}_in_${flood.name.lowercase()}_flood_${demand.kind}"
                sink(Figure(name, receivedFraction, "ratio", seed, "$WORKERS workers, flood of 10 cells"))
            }
        }
    }

    /** Core-milliseconds that each kind uses within the measured window. */
    private fun coreMsByKind(flood: Urgency?): Map<String, Double> {
        val simulation = PlacementSimulation({ PlacementEngine(it) })
        val used = HashMap<String, Double>()
        simulation.onStart = { used.merge(it.item.kind.name, coreMsWithinWindow(it, it.endsAtMs), Double::plus) }
        simulation.onEnd = { if (it.requeue) used.merge(it.item.kind.name, preemptionCorrection(it), Double::plus) }
        repeat(WORKERS) { simulation.placer.putWorker(PlacementWorker("w$it", "r${it / 8}", WORKER, true)) }
        val generators = OTHERS.associateWith { JobGenerator(seed + it.kind.hashCode()) }
        val floodGenerator = JobGenerator(seed)
        simulation.placer.setAllowances(
            (OTHERS.map { it.kind } + FLOOD_KIND).map { allowanceOf(planOf(it)) }.distinct(),
        )
        var unsubmittedFloodCoreMs = 0.0
        val unsubmittedByDemand = HashMap<Demand, Double>()
        while (simulation.nowMs < WINDOW_END_MS) {
            for ((demand, generator) in generators) {
                val unsubmittedCoreMs =
                    unsubmittedByDemand.getOrDefault(demand, 0.0) +
                        demand.fairShareFraction * totalCores() / KINDS * STEP_MS
                unsubmittedByDemand[demand] =
                    unsubmittedCoreMs - submitCoreMs(simulation, generator, demand, unsubmittedCoreMs)
            }
            if (flood != null) {
                val demand = Demand(FLOOD_KIND, 0.0, flood)
                unsubmittedFloodCoreMs += FLOOD_DEMAND_IN_CLUSTERS * totalCores() * STEP_MS
                unsubmittedFloodCoreMs -= submitCoreMs(simulation, floodGenerator, demand, unsubmittedFloodCoreMs)
            }
            simulation.decideAll()
            simulation.advanceTo(simulation.nowMs + STEP_MS)
        }
        return used
    }

    /** Submits jobs until their sum reaches [coreMs] core-milliseconds, and returns that sum. */
    private fun submitCoreMs(
        simulation: PlacementSimulation,
        generator: JobGenerator,
        demand: Demand,
        coreMs: Double,
    ): Double {
        var submittedCoreMs = 0.0
        val kind = WorkKind(demand.kind, Policy.BATCH)
        val cores = if (demand.kind == FLOOD_KIND) FLOOD_CORES else generator.random.nextInt(1, MAX_CORES)
        while (submittedCoreMs < coreMs) {
            val size = Resources(cores * 1_000L, cores * 2 * GIB)
            val runMs = generator.random.nextLong(MIN_RUN_MS, MAX_RUN_MS)
            val profile = JobProfile(planOf(demand.kind), kind, demand.urgency)
            simulation.submit(
                generator.job(profile, size, simulation.nowMs, runMs).let { it.copy(jobId = demand.kind + it.jobId) },
            )
            submittedCoreMs += cores.toDouble() * runMs
        }
        return submittedCoreMs
    }

    private fun coreMsWithinWindow(part: RunningPart, endMs: Long): Double {
        val fromMs = maxOf(part.startedAtMs, WINDOW_START_MS)
        val untilMs = minOf(endMs, WINDOW_END_MS)
        return maxOf(0L, untilMs - fromMs) * part.item.size.processorsMillicores / 1_000.0
    }

    /** The planned run time is counted at the start; this removes what a preempted part did not run. */
    private fun preemptionCorrection(part: RunningPart): Double =
        coreMsWithinWindow(part, part.endsAtMs) - coreMsWithinWindow(part, part.plannedEndMs)

    private fun planOf(kind: String): String = if (isByPlan) "plan-$kind" else "plan"

    private fun allowanceOf(plan: String): Allowance = Allowance(plan, "dc", WORKER * WORKERS)

    private fun totalCores(): Double = WORKERS * WORKER.processorsMillicores / 1_000.0

    private fun fairShareCoreMs(): Double = totalCores() / KINDS * (WINDOW_END_MS - WINDOW_START_MS)

    private companion object {
        const val WORKERS = 100
        val WORKER = Resources(32_000, 128 * GIB)
        const val FLOOD_KIND = "flood"
        const val FLOOD_DEMAND_IN_CLUSTERS = 10.0
        const val FLOOD_CORES = 1
        const val MAX_CORES = 9
        const val MIN_RUN_MS = 10_000L
        const val MAX_RUN_MS = 60_000L
        const val STEP_MS = 500L
        const val WINDOW_START_MS = PlacementSimulation.START_MS + 120_000
        const val WINDOW_END_MS = PlacementSimulation.START_MS + 420_000
        val OTHERS = listOf(
            Demand("half", 0.5, Urgency.NORMAL),
            Demand("most", 0.9, Urgency.PATIENT),
            Demand("double", 2.0, Urgency.NORMAL),
            Demand("urgent", 0.9, Urgency.URGENT),
        )
        val KINDS = OTHERS.size + 1
    }
}
