/**
 * Chooses the workers that a call for advice names.
 *
 * A call takes time for each worker named, and tickets expire soon after it. The first call therefore names only as
 * many workers as the step is likely to need, and a call for new tickets only those that its tasks are planned on.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.WorkerLife

/** What a step lacks before it can start. */
internal data class AdviceNeed(
    val step: TrackedStep,
    /** Workers that its tasks are planned on. */
    val planned: List<TrackedWorker>,
    /** Tasks without a worker. */
    val unplacedTasks: Int,
)

/** Most workers that one call may name. */
private const val MAX_WORKERS_IN_CALL = 100

/** The objective of a job counts a call for this many workers a step, so fewer would not make it tighter. */
private const val FIRST_CALL_WORKERS = 30

/** Room is asked for this many times over: other steps take some of it while the call lasts. */
private const val ROOM_MARGIN = 1.5

/** Further workers with expired tickets in a call, for room that is taken while it lasts. */
private const val SPARE_WORKERS = 3

internal class AdviceSelection(
    private val slownessOf: (TrackedWorker) -> Double,
    /** Share of the workers named that may run a step of the queue. */
    private val goodShareOf: (queue: String) -> Double,
) {
    /** The workers to name, out of those that are [eligible] for the step; empty if a call would not help. */
    fun workersToAsk(need: AdviceNeed, eligible: List<TrackedWorker>, nowMs: Long): List<TrackedWorker> {
        val advice = need.step.advice
        val planned = need.planned.distinct().filter { advice.ticketFor(it.life, nowMs) == null }
        val expired = eligible.filter {
            it.hasRoomFor(need.step) && advice.hasExpired(it.life, nowMs) && it !in planned
        }
        if (need.unplacedTasks == 0) return (planned + expired.take(SPARE_WORKERS)).take(MAX_WORKERS_IN_CALL)
        val fresh = freshWorkers(need, eligible)
        return if (fresh.isEmpty()) planned else (planned + expired + fresh).take(MAX_WORKERS_IN_CALL)
    }

    /** Workers not asked for yet, the most useful first, until the tasks are likely to find room on them. */
    private fun freshWorkers(need: AdviceNeed, eligible: List<TrackedWorker>): List<TrackedWorker> {
        val step = need.step
        val candidates = eligible.filter { !step.advice.isAsked(it.life) }.sortedWith(preference(step))
        val minimum = if (step.advice.isKnown) 0 else FIRST_CALL_WORKERS
        val goodShare = goodShareOf(step.job.terms.queue)
        val chosen = ArrayList<TrackedWorker>()
        var expectedTasks = 0.0
        for (worker in candidates) {
            val isEnough = expectedTasks >= need.unplacedTasks * ROOM_MARGIN || !worker.hasRoomFor(step)
            if (isEnough && chosen.size >= minimum) break
            chosen += worker
            expectedTasks += goodShare * step.room.countIn(worker.free)
        }
        return chosen
    }

    private fun preference(step: TrackedStep) = compareBy<TrackedWorker>(
        { !it.hasRoomFor(step) },
        { worker -> step.description.dataRack?.let { it !in worker.entry.labels } ?: false },
        { slownessOf(it) },
        { -it.free.processorsMillicores },
    )

    private fun TrackedWorker.hasRoomFor(step: TrackedStep) = step.room.countIn(free) > 0

    private fun StepAdvice.hasExpired(life: WorkerLife, nowMs: Long) = mayRunOn(life) && ticketFor(life, nowMs) == null
}
