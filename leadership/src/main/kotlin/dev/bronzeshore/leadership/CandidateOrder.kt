/**
 * Which processes offer themselves first as leader.
 *
 * A new leader reads the tables of all open jobs and then plans for the whole fleet. On a narrow link or a small
 * machine this takes seconds in which its own renewals are late, so that leadership moves on before any work is done.
 */
package dev.bronzeshore.leadership

import dev.bronzeshore.core.cluster.NodeRow
import kotlin.random.Random

/** A takeover with 1,000 open jobs reads 1.5 MB, which a link of this bandwidth moves in 0.6 s. */
private const val LINK_MBPS_PER_PROCESSOR = 20.0

/** Stronger candidates get this much time each to take over first: reading and writing the store takes about 20 ms. */
private const val RANK_DELAY_MS = 25L

/** Upper bound, for days on which most of the stronger processes are down. */
private const val MAX_RANK_DELAY_MS = 400L

/** A process that knows no others does not wait if it has the largest machine that the sites use. */
private const val LARGEST_CAPACITY = 2.0

/** All machines of a site start within 300 ms of each other, which is the wait of the smallest one. */
private const val DELAY_PER_PROCESSOR_MS = 150.0

/** A handover of 7 calls, each with 400 ms before the next one, ends before the time-out of the last one. */
private const val STRONGEST_ASKED = 4
private const val OTHERS_ASKED = 3

/** How much of a leader's work a machine can carry, in processors. */
public fun leaderCapacity(processors: Double, linkMbps: Double): Double =
    minOf(processors, linkMbps / LINK_MBPS_PER_PROCESSOR)

/** Time for which [own] leaves a takeover to stronger processes. */
public fun candidateDelayMs(own: NodeRow, peers: List<NodeRow>): Long = if (peers.isEmpty()) {
    ((LARGEST_CAPACITY - own.leaderCapacity).coerceAtLeast(0.0) * DELAY_PER_PROCESSOR_MS).toLong()
} else {
    (peers.count { it.leaderCapacity > own.leaderCapacity } * RANK_DELAY_MS).coerceAtMost(MAX_RANK_DELAY_MS)
}

/**
 * Processes to ask to take over, in order: the strongest, equal ones at random, and then some of the others.
 *
 * The leader asks again with its next renewal, so a few processes are enough also when the store turns many away.
 */
public fun handoverOrder(peers: List<NodeRow>, random: Random): List<NodeRow> {
    val byCapacity = peers.shuffled(random).sortedByDescending { it.leaderCapacity }
    return byCapacity.take(STRONGEST_ASKED) + byCapacity.drop(STRONGEST_ASKED).shuffled(random).take(OTHERS_ASKED)
}
