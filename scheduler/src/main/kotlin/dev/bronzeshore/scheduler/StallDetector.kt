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
    /** Workers with a request for a report in flight. */
    private val probed = HashSet<TrackedWorker>()

    fun restartStalledRuns() {
        val now = context.clock()
        for (worker in context.workerPool.workers.filter { it.isContacted && it.isReachable }) {
            val running = worker.placements.filter { it.isMonitored }
            val stalled = running.filter { it.progress.stalledForMs() > it.patienceMs }
            stalled.forEach { stopStalled(it, "no progress for ${it.progress.stalledForMs()} ms") }
            val stalledAlone = stalled.count { !it.task.step.description.isGang }
            if (stalledAlone > 0) quarantine.isolate(worker, "$stalledAlone runs make no progress")
            if (running.any { it !in stalled && it.progress.silentForMs(now) > it.patienceMs }) requestReport(worker)
        }
    }

    /** A poll that waits for an end may not show for some time that a run stands still. */
    private fun requestReport(worker: TrackedWorker) {
        if (!probed.add(worker)) return
        context.launchGuarded("stall probe", onError = { probed -= worker }) {
            worker.probe()
            probed -= worker
        }
    }

    private val Placement.isMonitored: Boolean
        get() = state == PlacementState.RUNNING && !task.step.description.isService && progress.percent < DONE_PERCENT

    private val Placement.patienceMs: Long
        get() {
            val step = task.step.description
            val minimumMs = if (step.isGang) GANG_STALLED_AFTER_MS else STALLED_AFTER_MS
            return maxOf(minimumMs, (step.estimateMs * STALLED_ESTIMATE_SHARE).toLong())
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
