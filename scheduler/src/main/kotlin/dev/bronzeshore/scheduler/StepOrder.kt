/**
 * The order in which waiting steps are served.
 *
 * Work that can still end within its objective goes first, by the operators' priority and then by its latest start.
 * Work that cannot earns callers less and comes after it; work that is hopelessly late comes last, but is still done.
 */
package dev.bronzeshore.scheduler

/** A job that ends after this many times its objective is worth nothing to its caller. */
private const val WORTHLESS_AFTER = 3

/** How late a step's job will be if it starts now. */
internal enum class Lateness { IN_TIME, LATE, WORTHLESS }

internal data class RankedStep(val step: TrackedStep, val lateness: Lateness, val latestStartMs: Long)

internal fun rank(step: TrackedStep, nowMs: Long, startDelayMs: Long): RankedStep {
    val job = step.job
    val allowanceMs = job.objectiveAtMs - job.acceptedAtMs
    val dueMs = job.acceptedAtMs + startDelayMs
    val objectiveMs = dueMs + allowanceMs
    val endsMs = nowMs + job.remainingChainMs(step)
    val lateness = when {
        step.description.isService || nowMs < (step.reservedUntilMs ?: Long.MIN_VALUE) -> Lateness.IN_TIME
        endsMs <= objectiveMs -> Lateness.IN_TIME
        endsMs <= dueMs + WORTHLESS_AFTER * allowanceMs -> Lateness.LATE
        else -> Lateness.WORTHLESS
    }
    return RankedStep(step, lateness, objectiveMs - job.remainingChainMs(step))
}

internal val STEP_ORDER: Comparator<RankedStep> = compareBy<RankedStep> { it.lateness }
    .thenBy { it.step.job.terms.priority }
    .thenBy { it.latestStartMs }
