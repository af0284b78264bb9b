/**
 * Decides which tasks the crash of a worker counts against.
 *
 * A task that crashes its worker does so soon after its start. Suspected are therefore the runs whose worker gave no
 * sign of life for some time after their start; the others are victims. A suspected task starts again where no other
 * run is unproven, and nothing else starts beside it until it is proven as well (see [CrashTrials]), so that another
 * crash has one possible cause.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.CrashRole
import dev.bronzeshore.core.cluster.CrashedRun
import kotlin.math.abs

/** A broken connection shows within this time of a start that the start has crashed the worker. */
private const val NOTICED_AT_ONCE_MS = 100L

/** Workers that crash within this time of each other have a common cause, if enough of them had no new run. */
private const val COMMON_CAUSE_WINDOW_MS = 500L
private const val COMMON_CAUSE_WORKERS = 3

internal class CrashAttribution(private val context: TermContext, private val lifecycle: JobLifecycle) {
    /** Times of the crashes that no task can have caused at its start. */
    private val unexplainedCrashesMs = ArrayDeque<Long>()
    private val recentCrashes = RecentCrashes()

    /** Records the crash of [worker] for the tasks that ran there and gives up those that caused it. */
    fun handleCrash(worker: TrackedWorker) {
        val crashedAtMs = worker.unreachableSinceMs ?: context.clock()
        val related = relatedCrashes(worker, crashedAtMs)
        val unproven = worker.placements.filterNot { it.isProven }
        val isOnlySuspect = unproven.distinctBy { it.task.step.job }.size == 1
        val unexplained = recentCrashes.countUnexplained(context.clock())
        recentCrashes.record(context.clock(), unproven)
        logCrash(worker, unproven, related, unexplained)
        context.workerPool.recordCrash(worker.entry.address, crashedAtMs)
        if (related >= COMMON_CAUSE_WORKERS) return
        for (placement in worker.placements.toList()) {
            val task = placement.task
            val role = roleOf(placement, crashedAtMs)
            record(
                task,
                CrashedRun(placement.run.run, role, isCertain = true),
                role != CrashRole.VICTIM && isOnlySuspect,
                isUnstable = unexplained > 0,
            )
        }
    }

    /** The next incarnation of the worker has the run, so it has not crashed the former one. */
    fun withdraw(placement: Placement) {
        if (placement.task.crashes.remove(placement.run.run)) context.markChanged(placement.task)
    }

    private fun record(task: TrackedTask, crash: CrashedRun, isOnlySuspect: Boolean, isUnstable: Boolean) {
        task.crashes.record(crash)
        context.markChanged(task)
        if (!task.crashes.isCause(isOnlySuspect, task.step.description.isService, isUnstable)) return
        context.metrics.losses.crashingTask()
        lifecycle.giveUp(task, "task ${task.name} has crashed its workers")
    }

    /** A run that its worker has never confirmed need not have begun: the worker may have crashed before. */
    private fun roleOf(placement: Placement, crashedAtMs: Long): CrashRole = when {
        placement.isProven -> CrashRole.VICTIM
        placement.isConfirmed && isNew(placement, crashedAtMs) -> CrashRole.LIKELY_CAUSE
        else -> CrashRole.SUSPECT
    }

    private fun isNew(placement: Placement, crashedAtMs: Long): Boolean =
        !placement.isProven && crashedAtMs - placement.orderedAtMs <= NOTICED_AT_ONCE_MS

    /**
     * Number of workers without new runs that crashed at the same time. Those with new runs say nothing: after a
     * takeover many tasks start at once, and those of them that crash their workers do so together.
     */
    private fun relatedCrashes(worker: TrackedWorker, crashedAtMs: Long): Int {
        if (!hasNewRun(worker, crashedAtMs)) unexplainedCrashesMs += crashedAtMs
        while (unexplainedCrashesMs.size > context.workerPool.workers.size) unexplainedCrashesMs.removeFirst()
        val silent = context.workerPool.workers.filter { it !== worker }
            .mapNotNull { other -> other.unreachableSinceMs?.takeUnless { hasNewRun(other, it) } }
        return (unexplainedCrashesMs + silent).count { abs(it - crashedAtMs) <= COMMON_CAUSE_WINDOW_MS }
    }

    /**
     * Records a crash that is likely but not certain yet, so that a takeover does not hide it. It takes some seconds
     * until another worker answers at the address.
     */
    fun presumeCrash(worker: TrackedWorker) {
        val noticedAtMs = worker.unreachableSinceMs ?: return
        for (placement in worker.placements.filter { roleOf(it, noticedAtMs) == CrashRole.LIKELY_CAUSE }) {
            placement.task.crashes.record(CrashedRun(placement.run.run, CrashRole.LIKELY_CAUSE, isCertain = false))
            context.markChanged(placement.task)
        }
    }

    /** The worker answers again, so its runs have not crashed it. */
    fun withdrawPresumption(worker: TrackedWorker) {
        for (placement in worker.placements) {
            if (placement.task.crashes.withdraw(placement.run.run)) context.markChanged(placement.task)
        }
    }

    private fun hasNewRun(worker: TrackedWorker, crashedAtMs: Long) = worker.placements.any { isNew(it, crashedAtMs) }

    /**
     * Records the crash of a worker that a former leader had reserved for the suspected tasks of [jobId], and whose
     * runs this leader does not know.
     */
    fun handleFormerTrial(jobId: String) {
        val tasks = context.jobRegistry.find(jobId)?.openSteps.orEmpty().flatMap { it.tasks }
        val isUnstable = recentCrashes.countUnexplained(context.clock()) > 0
        for (task in tasks.filter { it.crashes.isSuspected && !it.isDone && it.placement == null }) {
            val crash = CrashedRun(context.firstRunNumber - 1, CrashRole.SUSPECT, isCertain = true)
            record(task, crash, isOnlySuspect = true, isUnstable)
        }
    }

    private fun logCrash(worker: TrackedWorker, unproven: List<Placement>, related: Int, unexplained: Int) =
        context.log.event(
            "worker_crashed",
            "worker" to worker.id,
            "address" to worker.entry.address,
            "runs" to worker.placements.size,
            "unproven" to unproven.joinToString(" ") { it.run.task.toString() },
            "related_crashes" to related,
            "unexplained_crashes" to unexplained,
        )
}
