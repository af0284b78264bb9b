/**
 * Stops runs that make no progress, so that their tasks start on other workers.
 *
 * Slow runs are left alone: estimates of single tasks are off by several times, so that slowness of a run does not tell
 * a slow worker from a long task.
 */
package dev.bronzeshore.scheduler

/** A sound run shows progress with each hundredth of its time; this covers estimates that are a few times too low. */
private const val STALLED_AFTER_MS = 2_500L

/** A gang waits for its slowest member and for its members to arrive, so it is given more time. */
private const val GANG_STALLED_AFTER_MS = 4_500L
private const val STALLED_ESTIMATE_SHARE = 0.5

private const val DONE_PERCENT = 100

internal class StragglerCheck(
    private val context: TermContext,
    private val stopper: RunStopper,
    private val quarantine: Quarantine,
) {
    fun check() {
        val now = context.clock()
        for (worker in context.fleet.workers.filter { it.isContacted && it.isReachable }) {
            val running = worker.placements.filter { it.isChecked }
            val stalled = running.filter { isStalled(it, now) }
            stalled.forEach { restart(it, "no progress for ${now - it.progressAtMs} ms") }
            val certain = stalled.count { !it.task.step.description.isGang }
            if (certain > 0) quarantine.isolate(worker, "$certain runs make no progress")
        }
    }

    private val Placement.isChecked: Boolean
        get() = state == PlacementState.RUNNING && !task.step.description.isService && percent < DONE_PERCENT

    private fun isStalled(placement: Placement, now: Long): Boolean {
        val step = placement.task.step.description
        val minimumMs = if (step.isGang) GANG_STALLED_AFTER_MS else STALLED_AFTER_MS
        return now - placement.progressAtMs > maxOf(minimumMs, (step.estimateMs * STALLED_ESTIMATE_SHARE).toLong())
    }

    /** A gang is stopped as a whole, and its workers are passed over for its next run if others have room. */
    private fun restart(placement: Placement, reason: String) {
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
