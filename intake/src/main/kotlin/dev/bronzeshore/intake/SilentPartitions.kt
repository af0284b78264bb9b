/**
 * Remembers which partitions of the store have not responded lately.
 *
 * The load it answers: the store loses some partitions for seconds. Each job belongs to one partition, so that without
 * an alternative a share of all submissions would fail for as long. Not thread-safe.
 */
package dev.bronzeshore.intake

import dev.bronzeshore.core.ClockMs

/** Time after which a partition is tried again; a try may take two seconds. */
private const val AVOIDED_MS = 3_000L

internal class SilentPartitions(private val clock: ClockMs) {
    private val avoidedUntilMs = HashMap<String, Long>()

    /** Notes that a call to [partition] got no response. */
    fun recordSilence(partition: String) {
        avoidedUntilMs[partition] = clock() + AVOIDED_MS
    }

    /** The first of [partitions] that is not known to be silent, or the first one if all are. */
    fun choose(partitions: List<String>): String =
        partitions.firstOrNull { (avoidedUntilMs[it] ?: Long.MIN_VALUE) <= clock() } ?: partitions.first()
}
