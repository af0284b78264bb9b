/**
 * The order in which the planner goes through the waiting steps.
 *
 * Work that can still end within its objective goes first, by the operators' priority and then by its latest start.
 * Late work is worth less to its caller and follows; work that is too late to be worth anything comes last. Where there
 * are client accounts, work beyond the rate of its account comes after all other work, and work of accounts above their
 * share of the workers after that of the others.
 */
package dev.bronzeshore.scheduler

/** A job that takes longer than this many times its objective is worth nothing to its caller. */
private const val WORTHLESS_AFTER = 3

/**
 * A step counts as in time if it misses its objective by no more than this, the time that a start and a report take.
 * Otherwise an urgent job whose slack ends just when capacity is released falls behind all patient work.
 */
private const val LATENESS_TOLERANCE_MS = 60L

/** How late a step's job will be if it starts now. */
internal enum class Lateness { IN_TIME, LATE, WORTHLESS }

internal data class RankedStep(
    val step: TrackedStep,
    val lateness: Lateness,
    val latestStartMs: Long,
    /** The step's account uses more than its share of the workers. */
    val isOverShare: Boolean = false,
)

internal fun rank(step: TrackedStep, nowMs: Long, startDelayMs: Long): RankedStep {
    val job = step.job
    val objectiveDurationMs = job.objectiveAtMs - job.acceptedAtMs
    val dueMs = job.acceptedAtMs + startDelayMs
    val objectiveEndMs = dueMs + objectiveDurationMs
    val endsMs = nowMs + job.remainingCriticalPathMs(step)
    val lateness = when {
        step.description.isService || nowMs < (step.keepsRankUntilMs ?: Long.MIN_VALUE) -> Lateness.IN_TIME
        endsMs <= objectiveEndMs + LATENESS_TOLERANCE_MS -> Lateness.IN_TIME
        endsMs <= dueMs + WORTHLESS_AFTER * objectiveDurationMs -> Lateness.LATE
        else -> Lateness.WORTHLESS
    }
    return RankedStep(step, lateness, objectiveEndMs - job.remainingCriticalPathMs(step))
}

internal val STEP_ORDER: Comparator<RankedStep> = compareBy<RankedStep> { it.step.job.isBeyondRate }
    .thenBy { it.lateness }
    .thenBy { it.isOverShare }
    .thenBy { it.step.job.terms.priority }
    .thenBy { it.latestStartMs }
