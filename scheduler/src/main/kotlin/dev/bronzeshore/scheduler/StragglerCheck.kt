/** Stops runs that make no progress, so that their tasks start on other workers. */
package dev.bronzeshore.scheduler

/** A sound task shows progress with each hundredth of its time; estimates of tasks are off by a few times at most. */
private const val STALLED_AFTER_MS = 2_500L

/** A stalled run counts if it has made no progress for this many times its estimate divided by a hundred. */
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
            val stalled = worker.placements.filter { isStalled(it, now) }
            for (placement in stalled) {
                placement.task.failedOn += worker.id
                stopper.stop(placement, "no progress for ${now - placement.progressAtMs} ms")
            }
            if (stalled.isNotEmpty()) quarantine.isolate(worker, "${stalled.size} runs make no progress")
        }
    }

    /** A gang waits for its slowest member, so its progress says nothing about a single worker. */
    private fun isStalled(placement: Placement, now: Long): Boolean {
        val step = placement.task.step.description
        if (placement.state != PlacementState.RUNNING || step.isService || placement.percent >= DONE_PERCENT) return false
        val allowedMs = maxOf(STALLED_AFTER_MS, (step.estimateMs * STALLED_ESTIMATE_SHARE).toLong())
        return !step.isGang && now - placement.progressAtMs > allowedMs
    }
}
