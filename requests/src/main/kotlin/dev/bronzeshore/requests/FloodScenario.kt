/** Inputs and results of a flood trial. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Policy

/** A kind of requests with its offered [load] as a part of the capacity. */
public data class FloodKind(
    public val name: String,
    public val policy: Policy,
    public val weight: Int,
    public val load: Double,
    /** Time from the arrival to the latest start. */
    public val startWithinMs: Long,
)

/** A trial with exponentially distributed arrivals and service times; [flooded] offers [floodLoad], not its load. */
public data class FloodScenario(
    public val seed: Long = 42,
    public val endpoints: Int = 3,
    public val slotsPerEndpoint: Int = 8,
    public val meanServiceMs: Double = 20.0,
    public val runMs: Long = 60_000,
    public val kinds: List<FloodKind> = KINDS,
    public val flooded: String? = null,
    public val floodLoad: Double = 10.0,
    public val limits: AdmissionLimits = AdmissionLimits(),
) {
    public companion object {
        /** The most urgent kind has the earliest deadlines, the least urgent kind the latest. */
        public val KINDS: List<FloodKind> =
            listOf(
                FloodKind("urgent", Policy.INTERACTIVE, weight = 2, load = 0.1, startWithinMs = 500),
                FloodKind("interactive", Policy.INTERACTIVE, weight = 4, load = 0.3, startWithinMs = 2_000),
                FloodKind("background", Policy.BATCH, weight = 1, load = 0.1, startWithinMs = 10_000),
            )
    }
}

/** How kinds share slots in a trial; only [FAIR] is in use outside of trials. */
public enum class FloodPolicy { FAIR, FAIR_WITHOUT_RESERVE, FIFO, STRICT_PRIORITY }

/** What one kind got. */
public data class FloodKindStats(
    public val kind: String,
    public val offered: Long,
    public val started: Long,
    public val refused: Long,
    public val expired: Long,
    public val waitP50Micros: Long,
    public val waitP99Micros: Long,
) {
    /** Part of what the kind asked for that was started. */
    public val startedFraction: Double get() = if (offered == 0L) 1.0 else started.toDouble() / offered
}

/** Figures by kind, and the part of the slot time that was in use. */
public data class FloodReport(public val kinds: List<FloodKindStats>, public val slotsUsed: Double) {
    public fun of(kind: String): FloodKindStats = kinds.first { it.kind == kind }
}

/** Mean cost of decisions in nanoseconds. */
public data class DecisionCost(public val serveNanos: Double, public val refuseNanos: Double)
