/** Faults of the in-memory store, switched by tests while it runs. */
package dev.bronzeshore.standins.cluster

public class StoreFaults {
    /** The store refuses all calls. */
    public var isDown: Boolean = false

    /** Callers that are refused although the store serves others. */
    public val refusedCallers: MutableSet<String> = HashSet()

    /** Callers whose change feeds get no answer, as on a connection that has fallen silent. */
    public val unresponsiveFeeds: MutableSet<String> = HashSet()

    /** Callers whose change feeds answer later by this time. */
    public val feedDelayMs: MutableMap<String, Long> = HashMap()

    /** Time that each call takes. */
    public var latencyMs: Long = 4

    /** Share of the transactions that take effect without an answer. */
    public var lostResponseShare: Double = 0.0

    /** Lost transactions take effect this much later, if their conditions still hold. */
    public var lostWriteDelayMs: Long = 0

    /** Change feeds that start before this version are told that the history is gone. */
    public var oldestHistoryVersion: Long = 0
}
