/**
 * Learns how fast workers are and how far the estimates of each queue are off.
 *
 * The logarithm of run time over estimate is taken as the sum of the queue's and the worker's share; each observation
 * corrects both. A queue whose jobs mostly run on slow workers therefore does not make these look normal.
 */
package dev.bronzeshore.scheduler

import kotlin.math.exp
import kotlin.math.ln

/** Ratios outside of this range come from stalled or tiny tasks. */
private val PLAUSIBLE = 0.05..20.0

/** Weight of one observation for a queue, which gets many of them. */
private const val QUEUE_WEIGHT = 0.03

internal class SpeedBook {
    private val logRatioOfQueue = HashMap<String, Double>()

    /** Takes in a run time, or one extrapolated from progress, as a multiple of the estimate. */
    fun observe(queue: String, worker: TrackedWorker, ratio: Double) {
        if (ratio !in PLAUSIBLE) return
        val ofQueue = logRatioOfQueue.getOrPut(queue) { ln(ratio) }
        val error = ln(ratio) - ofQueue - worker.speed.logSlowness
        logRatioOfQueue[queue] = ofQueue + QUEUE_WEIGHT * error
        worker.speed.correct(error)
    }

    /** Run time on [worker] relative to a typical one. */
    fun slownessOf(worker: TrackedWorker): Double = exp(worker.speed.logSlowness)

    /** What a later leader needs, by worker id; workers without observations are left out. */
    fun toRow(workers: Collection<TrackedWorker>): Map<String, Double> =
        workers.filter { it.speed.isKnown }.associate { it.id to it.speed.logSlowness }
}
