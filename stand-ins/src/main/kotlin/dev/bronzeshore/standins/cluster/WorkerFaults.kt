/** Faults of in-memory workers, switched by tests while they run. */
package dev.bronzeshore.standins.cluster

public class WorkerFaults {
    /** Share of the orders that get no answer and are carried out late. */
    public var delayedRequestShare: Double = 0.0

    /** Longest delay of such an order. */
    public var maxRequestDelayMs: Long = 12_000

    /** Workers that no call reaches, and that run on. */
    public val unreachable: MutableSet<String> = HashSet()

    /** Workers on which every run fails after a moment. */
    public val failing: MutableSet<String> = HashSet()

    /** Workers on which runs stand still. */
    public val stalled: MutableSet<String> = HashSet()
}
