/** What gangs wait for, and when the runs on the workers that they reserve are expected to end. */
package dev.bronzeshore.scheduler

/** A task that is about to end, or that has exceeded its estimate, is expected to take this much longer. */
private const val MIN_REMAINING_MS = 50L
private const val PERCENT = 100

/** What a gang that does not start waits for. */
internal enum class GangWait {
    /** Its account's limit. */
    LIMIT,

    /** Advice on enough workers. */
    ADVICE,

    /** Gangs before it have reserved as many workers as all gangs may. */
    SHARE,

    /** The tasks on the workers that it has reserved. */
    WORKERS,

    /** New tickets for its workers, which are free. */
    TICKETS,
}

/** When the run is expected to end, by its reported progress or else by its estimate. */
internal fun Placement.expectedEndMs(slowness: Double, now: Long): Long {
    val runMs = (task.step.description.estimateMs * slowness).toLong()
    val increasedAtMs = progress.increasedAtMs
    val endsAtMs = if (increasedAtMs != null && progress.percent > 0) {
        increasedAtMs + runMs * (PERCENT - progress.percent) / PERCENT
    } else {
        orderedAtMs + runMs
    }
    return endsAtMs.coerceAtLeast(now + MIN_REMAINING_MS)
}
