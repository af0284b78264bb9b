/** Parameters and results of a flood simulation. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Policy

/** A kind of requests; [load] is its offered load as a fraction of the capacity. */
public data class FloodKind(
    public val name: String,
    public val policy: Policy,
    public val weight: Int,
    public val load: Double,
    /** Time from the arrival to the latest start. */
    public val startWithinMs: Long,
)

/** Interarrival and service times are exponentially distributed. The kind [flooded] has [floodLoad] as its load. */
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
        /** The more urgent a kind, the shorter its deadlines. */
        public val KINDS: List<FloodKind> =
            listOf(
                FloodKind("urgent", Policy.INTERACTIVE, weight = 2, load = 0.1, startWithinMs = 500),
                FloodKind("interactive", Policy.INTERACTIVE, weight = 4, load = 0.3, startWithinMs = 2_000),
                FloodKind("background", Policy.BATCH, weight = 1, load = 0.1, startWithinMs = 10_000),
            )
    }
}

/** How kinds share slots in a simulation; only [FAIR] is used outside of simulations. */
public enum class FloodPolicy { FAIR, FAIR_WITHOUT_RESERVE, FIFO, STRICT_PRIORITY }

/** Results of one kind. */
public data class FloodKindStats(
    public val kind: String,
    public val offered: Long,
    public val started: Long,
    public val refused: Long,
    public val expired: Long,
    public val waitP50Micros: Long,
    public val waitP99Micros: Long,
) {
    /** Fraction of the offered requests that were started. */
    public val startedFraction: Double get() = if (offered == 0L) 1.0 else started.toDouble() / offered
}

/** Results by kind, and the fraction of the slot time that was in use. */
public data class FloodReport(public val kinds: List<FloodKindStats>, public val slotsUsed: Double) {
    public fun of(kind: String): FloodKindStats = kinds.first { it.kind == kind }
}

/** Mean cost in nanoseconds of serving and of refusing a request. */
public data class DecisionCost(public val serveNanos: Double, public val refuseNanos: Double)
