/**
 * What a waiting step needs from the advice service.
 *
 * The answer about a worker does not change, but its ticket expires after some seconds. A step therefore asks about
 * about as many workers as it needs, and later renews the tickets of only those that the planner has chosen for it.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.WorkerIncarnation
import kotlin.math.ceil

/** Workers asked about beyond the expected need, as a factor; the share of good answers varies between steps. */
private const val SPARE_FACTOR = 1.3

/** Fewest workers in a first call: most of a call's time does not depend on their number. */
private const val MIN_WORKERS_ASKED = 16

/** A step whose good workers are fewer than this share of its tasks asks about workers without room as well. */
private const val MIN_GOOD_SHARE = 0.6

/** Workers that a step asks about, best first; [isOptional] if the step knows enough workers to wait for. */
internal class AdviceNeed(
    val step: TrackedStep,
    val workers: List<WorkerIncarnation>,
    val isOptional: Boolean = false,
) {
    /** Length of one of the calls into which the need is split. */
    val length: CallLength = lengthOfCall(step, workers.size)

    /** False if the step has started, ended or asked otherwise since the need was worked out. */
    fun isOpen(nowMs: Long): Boolean = step.job.isOpen && step.hasPendingTasks && step.advice.mayAsk(nowMs)
}

/** Length of a call about [workers] of the step's workers. */
internal fun lengthOfCall(step: TrackedStep, workers: Int): CallLength {
    val workersInCall = workers.coerceIn(MIN_WORKERS_ASKED, WORKERS_IN_PARALLEL_CALL)
    return CallLength.of(step.job.terms.advice?.durationMs(workersInCall) ?: 0)
}

/** How many of the workers of a service a step knows and lacks. */
internal data class AdviceShortage(
    /** Tasks of the step that still have to start. */
    val pendingTasks: Int,
    /** Those of them that found no worker in this round. */
    val missingTasks: Int,
    /** Workers that may run the step, with and without room. */
    val goodWorkers: Int,
    /** Expected share of good answers, above 0. */
    val goodShare: Double,
)

/**
 * Chooses from the workers that the step has not asked about: as many of [withRoom] as the missing tasks are expected
 * to need, and some of [withoutRoom] if the step knows too few good workers to wait for. Both lists are best first.
 */
internal fun <T> workersToAsk(shortage: AdviceShortage, withRoom: List<T>, withoutRoom: List<T>): List<T> {
    val needed = expectedWorkers(shortage.missingTasks, shortage.goodShare)
    val chosen = withRoom.take(needed)
    if (shortage.goodWorkers >= MIN_GOOD_SHARE * shortage.pendingTasks) return chosen
    val lacking = shortage.pendingTasks - shortage.goodWorkers
    return chosen + withoutRoom.take((expectedWorkers(lacking, shortage.goodShare) - chosen.size).coerceAtLeast(0))
}

private fun expectedWorkers(goodWanted: Int, goodShare: Double): Int =
    maxOf(MIN_WORKERS_ASKED, ceil(goodWanted * SPARE_FACTOR / goodShare).toInt())
