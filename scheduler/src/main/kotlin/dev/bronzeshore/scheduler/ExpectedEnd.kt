/** When runs are expected to end, and what they release then. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources

/** A task that is about to end, or that has exceeded its estimate, is expected to take this much longer. */
private const val MIN_REMAINING_MS = 50L
private const val PERCENT = 100

/** The end of a run counts as unknown once it is late by this many times the estimate. */
private const val OVERDUE_FACTOR = 2

/** Shorter estimates are raised to this: the start request and the report alone take tens of milliseconds. */
private const val MIN_RUN_MS = 300L

/** Factor by which run times often exceed their estimates. */
internal const val ESTIMATE_MARGIN = 1.6

/** What a run is expected to release at [atMs]. */
internal data class ExpectedEnd(val atMs: Long, val demand: Resources)

/**
 * Monotonic time at which the run is expected to end, by its reported progress or else by its estimate. Null if nothing
 * is known of its end: it belongs to a service, or has long exceeded its estimate.
 */
internal fun Placement.expectedEndMs(slowness: Double, now: Long): Long? {
    if (state == PlacementState.STOPPING) return now + MIN_REMAINING_MS
    if (task.step.description.isService) return null
    val runMs = (task.step.description.estimateMs * slowness).toLong().coerceAtLeast(MIN_RUN_MS)
    val increasedAtMs = progress.increasedAtMs
    val endsAtMs = if (increasedAtMs != null && progress.percent > 0) {
        val byEstimateMs = runMs * (PERCENT - progress.percent) / PERCENT
        increasedAtMs + maxOf(byEstimateMs, progress.remainingMsByRate() ?: 0)
    } else {
        orderedAtMs + runMs
    }
    if (now - endsAtMs > OVERDUE_FACTOR * runMs) return null
    return endsAtMs.coerceAtLeast(now + MIN_REMAINING_MS)
}

/** Latest time at which a task of the step that starts now is likely to end; null if it may run for any time. */
internal fun TrackedStep.likelyEndMs(slowness: Double, now: Long): Long? {
    if (description.isService || description.estimateMs <= 0) return null
    return now + (description.estimateMs * slowness * ESTIMATE_MARGIN).toLong()
}
