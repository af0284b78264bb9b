/** Estimate of how much longer tasks take on a worker than on others, learned from run times and progress. */
package dev.bronzeshore.scheduler

/** Smallest weight of a new observation, at which about seven observations outweigh the earlier ones. */
private const val MIN_WEIGHT = 0.15

internal class WorkerSpeedEstimate {
    private var observations = 0

    /** Logarithm of the run time relative to other workers; 0 before the first observation. */
    var logSlowness: Double = 0.0
        private set
    val isKnown: Boolean get() = observations > 0

    /** Moves the estimate towards an observation that missed it by [error]. */
    fun correct(error: Double) {
        observations++
        logSlowness += maxOf(MIN_WEIGHT, 1.0 / (1 + observations)) * error
    }

    /** Restores what a former leader has learned. */
    fun restore(stored: Double) {
        if (isKnown) return
        logSlowness = stored
        observations = 1
    }
}
