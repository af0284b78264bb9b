/** State of one step of a job in one occurrence of its schedule. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.CrashRole
import dev.bronzeshore.core.cluster.CrashedRun
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.StepName
import dev.bronzeshore.core.cluster.StepProgress

/**
 * Time for which a waiting gang keeps its rank although it has become late. Without it, capacity that the gang had
 * partly collected goes to newer small tasks, and a gang never starts while all workers are busy.
 */
private const val RANK_KEPT_MS = 5_000L

/** Longest interruption of the time for which a step is kept from starting. */
private const val KEPT_OUT_GAP_MS = 500L

internal class TrackedStep(val job: TrackedJob, val occurrence: Int, val number: Int) {
    val description: StepDescription = job.accepted.description.steps[number]
    val name = StepName(job.accepted.jobId, occurrence, number)
    val tasks: List<TrackedTask> = List(description.replicas) { TrackedTask(this, it) }
    val advice = StepAdvice()

    /** Runs of the gang in which a member failed. */
    private val failedGangRuns = HashSet<Long>()

    /** Reservations of capacity for the step; null if it is not a gang. */
    val reservations: GangReservations? = if (description.isGang) GangReservations(job) else null

    /** Monotonic time until which a gang that waits for capacity keeps its rank even if it is late. */
    var keepsRankUntilMs: Long? = null
        private set

    /**
     * Keeps the rank of a gang for a time that is not renewed, so that it does not go before other work for ever. The
     * time under former leaders counts.
     */
    fun keepRank(now: Long) {
        if (keepsRankUntilMs == null) keepsRankUntilMs = now + RANK_KEPT_MS - job.ageWhenKnownMs
    }

    /** Since when the step could start if no capacity were kept for others, and when that was last so. */
    private var keptOutSinceMs = Long.MIN_VALUE
    private var keptOutAtMs: Long? = null

    /**
     * Notes that only capacity which is kept for others keeps the step from starting; returns for how long. Short
     * interruptions do not end that time, and the time under former leaders counts.
     */
    fun noteKeptOut(now: Long): Long {
        val goesOn = keptOutAtMs?.let { now - it <= KEPT_OUT_GAP_MS } ?: false
        if (!goesOn) keptOutSinceMs = now - job.ageWhenKnownMs
        keptOutAtMs = now
        return now - keptOutSinceMs
    }

    private var loggedWait: GangWait? = null

    /** True if [wait] is not the reason that was logged last. */
    fun isNewWait(wait: GangWait?): Boolean = (wait != loggedWait).also { loggedWait = wait }

    private var hasLoggedLimit = false

    /** Logs once that the step waits for its account's limit; [isTooLow] if it cannot start under this limit at all. */
    fun logLimit(context: TermContext, isTooLow: Boolean) {
        if (hasLoggedLimit) return
        hasLoggedLimit = true
        val account = job.accepted.account
        context.log.event(
            "limit_reached",
            "job" to job.id,
            "step" to name,
            "account" to account,
            "used" to account?.let { context.workerPool.accountUsage.of(it) },
            "limit" to account?.let { context.accounts()?.named(it)?.limit },
            "too_low" to isTooLow.takeIf { it },
        )
    }

    val isDone: Boolean get() = tasks.all { it.isDone }
    val hasStarted: Boolean get() = tasks.any { it.hasStarted }

    /** All steps that must precede this one are done. */
    val isUnblocked: Boolean get() = description.after.all { job.step(occurrence, it)?.isDone == true }

    /** Tasks that need a worker; a gang starts as a whole, after all members of its previous run have ended. */
    val pendingTasks: List<TrackedTask>
        get() = when {
            description.isGang && tasks.any { it.placement != null } -> emptyList()
            else -> tasks.filter { !it.isDone && it.placement == null }
        }

    /** The same as a non-empty [pendingTasks], without building the list. */
    val hasPendingTasks: Boolean
        get() = when {
            description.isGang && tasks.any { it.placement != null } -> false
            else -> tasks.any { !it.isDone && it.placement == null }
        }

    /** Wall-clock time at which the step is due, or null if it is due at once. */
    val dueAtMs: Long? get() = job.occurrences.dueAtMs(occurrence)

    fun markAllDone() = tasks.forEach { it.isDone = true }

    /** Counts a failed run of the gang once, however many members report it. */
    fun countGangFailure(run: Long): Int {
        failedGangRuns += run
        return failedGangRuns.size
    }

    /** All members of a gang resume from the same checkpoint. */
    fun shareCheckpoint(checkpoint: String) = tasks.forEach { it.checkpoint = checkpoint }

    fun toProgress(): StepProgress? = progressOf(tasks.indices).takeIf { it != StepProgress(occurrence, number) }

    /** The progress of the tasks with these indices. */
    fun progressOf(indices: IntRange): StepProgress {
        val part = tasks.subList(indices.first, indices.last + 1)
        return StepProgress(
            occurrence = occurrence,
            step = number,
            doneTasks = part.filter { it.isDone }.map { it.index },
            failedRuns = failuresOf(part),
            checkpoints = part.filter { !it.isDone }
                .mapNotNull { task -> storedCheckpoint(task.checkpoint)?.let { task.index to it } }
                .toMap(),
            crashedRuns = part.filter { it.crashes.runs.isNotEmpty() }.associate { it.index to storedCrashesOf(it) },
        )
    }

    private fun failuresOf(part: List<TrackedTask>): Map<Int, Set<Long>> = when {
        !description.isGang -> part.filter {
            it.failedRuns.isNotEmpty()
        }.associate { it.index to it.failedRuns.toSet() }
        failedGangRuns.isEmpty() || part.none { it.index == 0 } -> emptyMap()
        else -> mapOf(0 to failedGangRuns.toSet())
    }

    /** Crashes that a service task did not cause say nothing about it, and add up as long as it runs. */
    private fun storedCrashesOf(task: TrackedTask): Set<CrashedRun> = if (description.isService) {
        task.crashes.runs.filterTo(HashSet()) {
            it.role != CrashRole.VICTIM
        }
    } else {
        task.crashes.runs
    }

    /** Restores the progress of the tasks whose indices [isLeftOut] does not leave out. */
    fun restore(progress: StepProgress, isLeftOut: (index: Int) -> Boolean = { false }) {
        fun taskAt(index: Int) = tasks.getOrNull(index)?.takeUnless { isLeftOut(index) }
        for (index in progress.doneTasks) taskAt(index)?.isDone = true
        for ((index, checkpoint) in progress.checkpoints) taskAt(index)?.checkpoint = checkpoint
        for ((index, crashes) in progress.crashedRuns) crashes.forEach { taskAt(index)?.crashes?.record(it) }
        if (description.isService) return
        if (description.isGang) {
            if (!isLeftOut(0)) failedGangRuns += progress.failedRuns[0].orEmpty()
        } else {
            for ((index, runs) in progress.failedRuns) taskAt(index)?.failedRuns?.addAll(runs)
        }
    }
}
