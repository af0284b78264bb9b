/**
 * Stops runs that make no progress, so that their tasks start on other workers.
 *
 * Slow runs are not stopped: the estimate of a single task may be wrong by several times, so a slow run may as well be
 * a long task as a slow worker.
 */
package dev.bronzeshore.scheduler

/** A healthy run shows progress each percent of its duration; this covers estimates that are a few times too low. */
private const val STALLED_AFTER_MS = 2_500L

/** Members of a gang wait for all members to start and for the slowest one, so they get more time. */
private const val GANG_STALLED_AFTER_MS = 4_500L
private const val STALLED_ESTIMATE_SHARE = 0.5

private const val DONE_PERCENT = 100

internal class StallDetector(
    private val context: TermContext,
    private val stopper: RunStopper,
    private val quarantine: Quarantine,
) {
    fun restartStalledRuns() {
        val now = context.clock()
        for (worker in context.workerPool.workers.filter { it.isContacted && it.isReachable }) {
            val running = worker.placements.filter { it.isMonitored }
            val stalled = running.filter { isStalled(it, now) }
            stalled.forEach { stopStalled(it, "no progress for ${now - it.progressAtMs} ms") }
            val stalledAlone = stalled.count { !it.task.step.description.isGang }
            if (stalledAlone > 0) quarantine.isolate(worker, "$stalledAlone runs make no progress")
        }
    }

    private val Placement.isMonitored: Boolean
        get() = state == PlacementState.RUNNING && !task.step.description.isService && percent < DONE_PERCENT

    private fun isStalled(placement: Placement, now: Long): Boolean {
        val step = placement.task.step.description
        val minimumMs = if (step.isGang) GANG_STALLED_AFTER_MS else STALLED_AFTER_MS
        return now - placement.progressAtMs > maxOf(minimumMs, (step.estimateMs * STALLED_ESTIMATE_SHARE).toLong())
    }

    /** A gang is stopped as a whole; its next run prefers other workers if they have free capacity. */
    private fun stopStalled(placement: Placement, reason: String) {
        val step = placement.task.step
        if (!step.description.isGang) {
            placement.task.failedOn += placement.worker.id
            return stopper.stop(placement, reason)
        }
        val members = step.tasks.mapNotNull { it.placement }
        val workers = members.map { it.worker.id }
        step.tasks.forEach { it.failedOn += workers }
        members.forEach { stopper.stop(it, reason) }
    }
}
