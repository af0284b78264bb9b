/** Stops runs that make no progress or far too little, so that their tasks start on other workers. */
package dev.bronzeshore.scheduler

/** A sound run shows progress with each hundredth of its time; this covers estimates that are a few times too low. */
private const val STALLED_AFTER_MS = 2_500L

/** A gang waits for its slowest member and for its members to arrive, so it is given more time. */
private const val GANG_STALLED_AFTER_MS = 4_500L
private const val STALLED_ESTIMATE_SHARE = 0.5

/** A run counts as slow when it needs this many times what it would need on a typical worker. */
private const val SLOW_FACTOR = 3.0

/** Time and progress after which a run's speed can be told. */
private const val MIN_AGE_MS = 700L
private const val MIN_PERCENT = 4
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
            val slow = running.filter { it !in stalled && isSlow(it, now) }
            stalled.forEach { restart(it, "no progress for ${now - it.progressAtMs} ms") }
            slow.forEach { restart(it, "${it.percent}% after ${now - it.orderedAtMs} ms") }
            val certain = (stalled + slow).count { !it.task.step.description.isGang }
            if (certain > 0) quarantine.isolate(worker, "$certain runs are stalled or slow")
        }
    }

    private val Placement.isChecked: Boolean
        get() = state == PlacementState.RUNNING && !task.step.description.isService && percent < DONE_PERCENT

    private fun isStalled(placement: Placement, now: Long): Boolean {
        val step = placement.task.step.description
        val minimumMs = if (step.isGang) GANG_STALLED_AFTER_MS else STALLED_AFTER_MS
        return now - placement.progressAtMs > maxOf(minimumMs, (step.estimateMs * STALLED_ESTIMATE_SHARE).toLong())
    }

    /** True if the rest of the run here takes longer than several whole runs on a typical worker. */
    private fun isSlow(placement: Placement, now: Long): Boolean {
        val ageMs = now - placement.orderedAtMs
        if (!placement.showsSpeed || ageMs < MIN_AGE_MS || placement.percent < MIN_PERCENT) return false
        val restMs = ageMs * (DONE_PERCENT - placement.percent) / placement.percent
        val queue = placement.task.step.job.terms.queue
        val typicalMs =
            context.fleet.speeds.typicalMs(queue, placement.task.step.description.estimateMs) ?: return false
        return restMs > SLOW_FACTOR * typicalMs
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
