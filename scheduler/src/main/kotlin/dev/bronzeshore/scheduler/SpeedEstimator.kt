/**
 * Learns how fast workers are and by what factor the estimates of each queue are off.
 *
 * The logarithm of the ratio of run time to estimate is modelled as the sum of a queue term and a worker term; each
 * observation corrects both. Slow workers are therefore recognized even if they run most of the jobs of a queue.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln

/** Ratios outside this range come from stalled or tiny tasks. */
private val PLAUSIBLE = 0.05..20.0

/** Weight of one observation for a queue; small, because a queue gets many of them. */
private const val QUEUE_WEIGHT = 0.03

/** Size in a row of a worker's speed and of what encodes the length of its id. */
private const val ENTRY_BYTES = 12

/** For the name of the field. */
private const val RESERVED_BYTES = 100

internal class SpeedEstimator {
    private val logRatioOfQueue = HashMap<String, Double>()

    /** Records a run time, or one extrapolated from progress, as a multiple of the estimate. */
    fun observe(queue: String, worker: TrackedWorker, ratio: Double) {
        if (ratio !in PLAUSIBLE) return
        val ofQueue = logRatioOfQueue.getOrPut(queue) { ln(ratio) }
        val error = ln(ratio) - ofQueue - worker.speed.logSlowness
        logRatioOfQueue[queue] = ofQueue + QUEUE_WEIGHT * error
        worker.speed.correct(error)
    }

    /** Run time on [worker] relative to a typical one. */
    fun slownessOf(worker: TrackedWorker): Double = exp(worker.speed.logSlowness)

    /**
     * What is stored for a later leader, by worker id; workers without observations are left out, and so are those of
     * almost usual speed if the row would be larger than the store takes.
     */
    fun toRow(workers: Collection<TrackedWorker>): Map<String, Double> {
        var bytesLeft = MAX_ROW_BYTES - RESERVED_BYTES
        return workers.filter { it.speed.isKnown }
            .sortedByDescending { abs(it.speed.logSlowness) }
            .takeWhile { worker ->
                bytesLeft -= worker.id.encodeToByteArray().size + ENTRY_BYTES
                bytesLeft >= 0
            }
            .associate { it.id to it.speed.logSlowness }
    }
}
