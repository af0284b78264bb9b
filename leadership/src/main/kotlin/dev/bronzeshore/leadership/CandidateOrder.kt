/**
 * Order in which processes become candidates for leadership, and in which they are asked to take over.
 *
 * A new leader reads the tables of all open jobs and then schedules for all workers. On a slow link or a small machine
 * this takes seconds in which its own renewals are late, so that leadership moves on before any work is done.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.NodeRow
import kotlin.random.Random

/** A takeover with 1,000 open jobs reads 1.5 MB, which a link of this bandwidth transfers in 0.6 s. */
private const val LINK_MBPS_PER_PROCESSOR = 20.0

/** Delay for each stronger candidate: the read and the write of a takeover take about 20 ms. */
private const val RANK_DELAY_MS = 25L

/** Upper bound of the delay, in case most of the stronger processes are down. */
private const val MAX_RANK_DELAY_MS = 400L

/** Capacity of the largest machine of any site; a process that knows no peers does not wait on such a machine. */
private const val LARGEST_CAPACITY = 2.0

/** All machines of a site start within 300 ms of each other, which is the delay of the smallest one. */
private const val DELAY_PER_PROCESSOR_MS = 150.0

/** A handover makes at most 7 calls, each 400 ms after the one before, and ends before the last one times out. */
private const val STRONGEST_PEERS = 4
private const val OTHER_PEERS = 3

/** Capacity of a machine for the work of a leader, in processors; a slow link counts as fewer processors. */
public fun leaderCapacity(processors: Double, linkMbps: Double): Double =
    minOf(processors, linkMbps / LINK_MBPS_PER_PROCESSOR)

/** How long [own] delays a takeover so that stronger processes can take over first. */
public fun candidateDelayMs(own: NodeRow, peers: List<NodeRow>): Long = if (peers.isEmpty()) {
    ((LARGEST_CAPACITY - own.leaderCapacity).coerceAtLeast(0.0) * DELAY_PER_PROCESSOR_MS).toLong()
} else {
    (peers.count { it.leaderCapacity > own.leaderCapacity } * RANK_DELAY_MS).coerceAtMost(MAX_RANK_DELAY_MS)
}

/**
 * Peers to ask to take over, in order: the strongest, with ties in random order, and then a random few of the others.
 *
 * The leader asks again after its next failed renewal, so a few peers suffice even if the store refuses many of them.
 */
public fun handoverOrder(peers: List<NodeRow>, random: Random): List<NodeRow> {
    val byCapacity = peers.shuffled(random).sortedByDescending { it.leaderCapacity }
    return byCapacity.take(STRONGEST_PEERS) + byCapacity.drop(STRONGEST_PEERS).shuffled(random).take(OTHER_PEERS)
}
