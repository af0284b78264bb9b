/** Faults of the in-memory store, which tests change while it runs. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.cluster.RowId

public class StoreFaults {
    /** Makes the store refuse all calls. */
    public var isDown: Boolean = false

    /** Callers whose calls are refused while the store serves others. */
    public val refusedCallers: MutableSet<String> = HashSet()

    /** Partitions whose reads and writes get no response and are not applied, by caller. */
    public val silentPartitions: MutableMap<String, Set<String>> = HashMap()

    /** Callers whose change feeds get no response until their timeout, as on a half-open connection. */
    public val unresponsiveFeeds: MutableSet<String> = HashSet()

    /** Extra latency of change feeds, by caller. */
    public val feedDelayMs: MutableMap<String, Long> = HashMap()

    /** Latency of each call. */
    public var latencyMs: Long = 4

    /** Latency of reads and writes of single callers, if it differs. */
    public val latencyMsOf: MutableMap<String, Long> = HashMap()

    /** Fraction of the transactions whose response is lost; they are applied after [lostWriteDelayMs]. */
    public var lostResponseShare: Double = 0.0

    /** Delay after which a transaction without a response is applied, if its conditions still hold. */
    public var lostWriteDelayMs: Long = 0

    /** Answers to transactions name the newest version of the store, which later transactions may have raised. */
    public var answersNewestVersion: Boolean = false

    /** Rows that the store does not take, whatever they hold. */
    public var isRowRefused: (RowId) -> Boolean = { false }

    /** Transactions with a longer value are refused. */
    public var maxValueBytes: Int = Int.MAX_VALUE

    /** Transactions with more bytes in values are refused. */
    public var maxTransactionBytes: Int = Int.MAX_VALUE

    /** Change feeds that start before this version fail because the history is gone. */
    public var oldestHistoryVersion: Long = 0
}
