/** Tracks jobs from acceptance to their end, and tasks from one run to the next. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.IntakeRows
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.KeptEnd
import dev.bronzeshore.core.cluster.RowId
import dev.bronzeshore.core.cluster.StoredRow
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun

/** Pause before a task starts again after a run that failed, was lost or was stopped; avoids a busy loop. */
private const val RESTART_PAUSE_MS = 20L

/** The same for a service task, which starts again after each end of its run. */
private const val SERVICE_RESTART_PAUSE_MS = 200L

internal class JobLifecycle(private val context: TermContext, private val stopper: RunStopper) {
    private val jobs get() = context.jobRegistry

    /** Adds an accepted job; idempotent. */
    fun accept(accepted: AcceptedJob, version: Long) {
        val ageMs = (context.wallClock() - accepted.acceptedAtMs).coerceIn(0, MAX_AGE_MS)
        val now = context.clock()
        context.jobMemory.release(accepted.jobId)
        val job = jobs.add(accepted, now - ageMs, now, version) ?: return
        if (job.isStoredWithoutParts) (job.progressRows.allParts() + job).forEach { context.markChanged(it) }
        context.keptEnds.takeFormer(job.id).forEach { applyKept(job, it) }
        job.isBeyondRate =
            context.submissionRates.exceedsRate(context.accounts(), accepted.account, accepted.acceptedAtMs)
        context.log.event(
            "job_known",
            "job" to job.id,
            "queue" to job.terms.queue,
            "account" to accepted.account,
            "beyond_rate" to job.isBeyondRate.takeIf { it },
            "phase" to job.phase,
            "version" to version,
            "age_ms" to ageMs,
            "objective_in_ms" to job.objectiveAtMs - now,
        )
        if (job.isOpen && jobs.isCancelled(job.id)) close(job, JobPhase.CANCELLED, "cancelled before it was known")
        context.wakePlanner()
    }

    /** Processes an end that was reported while the rows of the job could not be decoded. */
    private fun applyKept(job: TrackedJob, kept: KeptEnd) {
        val name = TaskName(job.id, kept.occurrence, kept.step, kept.index)
        val task = job.task(name) ?: return
        task.lastRun = maxOf(task.lastRun, kept.run)
        recordEnd(task, TaskEnd(kept.number, TaskRun(name, kept.run), kept.kind, kept.checkpoint), kept.workerId)
    }

    /** Sets a job aside whose row cannot be decoded; it stays pending for its caller until the row is repaired. */
    fun setAside(row: StoredRow, cause: String) {
        context.reportMalformedRow(row.id, cause)
        jobs.setAside(row.id.key)
    }

    /** Notes where the rows of a job are. */
    fun noteRow(id: RowId) {
        val jobId = IntakeRows.jobOf(id.key)
        if (id.partition != Tables.intakePartitionOf(jobId)) jobs.markAlternate(jobId)
    }

    fun cancel(jobId: String) {
        val job = jobs.cancel(jobId) ?: return
        close(job, JobPhase.CANCELLED, "cancelled by its caller")
    }

    /** Processes the end of [placement]'s run. */
    fun ended(placement: Placement, end: TaskEnd) {
        val task = placement.task
        placement.worker.remove(placement)
        context.metrics.end(end.kind.name)
        if (end.kind == EndKind.DONE) observeSpeed(placement)
        recordEnd(task, end, placement.worker.id)
    }

    private fun observeSpeed(placement: Placement) {
        val step = placement.task.step.description
        if (!placement.isSpeedSample) return
        val ratio = (context.clock() - placement.orderedAtMs).toDouble() / step.estimateMs
        context.workerPool.speeds.observe(placement.task.step.job.terms.queue, placement.worker, ratio)
    }

    /** Processes the end of a run that has no placement here; its task may have another run since. */
    fun endedWithoutPlacement(worker: TrackedWorker, end: TaskEnd) {
        val task = jobs.task(end.run.task) ?: return
        if (end.kind == EndKind.DONE) reportDuplicate(task, end.run, worker, hasEnded = true)
        if (task.placement != null || end.run.run < task.lastRun) return recordEarlierEnd(task, end, worker.id)
        task.lastRun = end.run.run
        recordEnd(task, end, worker.id)
    }

    /**
     * Makes it visible that [task] has run twice: [run] is on [worker], or [hasEnded] there as done, although the task
     * has another run or is done. An end of a task that is done may be its only one, reported again after a takeover.
     */
    fun reportDuplicate(task: TrackedTask, run: TaskRun, worker: TrackedWorker, hasEnded: Boolean) {
        val other = task.placement
        val isDuplicate = other != null || task.isDone && !hasEnded && !task.step.description.isGang
        if (!task.step.job.isOpen || !isDuplicate) return
        context.log.event(
            "run_duplicated",
            "task" to run.task,
            "run" to run.run,
            "worker" to worker.id,
            "worker_started_at_ms" to worker.incarnation.startedAtMs,
            "other_run" to other?.run?.run,
            "other_worker" to other?.worker?.id,
            "other_age_ms" to other?.let { context.clock() - it.orderedAtMs },
            "done" to task.isDone,
        )
        context.metrics.losses.duplicateRun()
    }

    /**
     * Processes the end of a run after which the task has had another one. If it is done, the other one is stopped, and
     * the task must not start again once the end is acknowledged. A failure counts as well: after a takeover, reports
     * of several workers arrive in any order.
     */
    private fun recordEarlierEnd(task: TrackedTask, end: TaskEnd, workerId: String) {
        val step = task.step
        val job = step.job
        if (!job.isOpen || task.isDone || step.description.isService) return
        if (end.kind == EndKind.DONE) {
            val members = if (step.description.isGang) step.tasks else listOf(task)
            members.mapNotNull { it.placement }.filter { it.run.run != end.run.run }
                .forEach { stopper.stop(it, "another run of the task is done") }
            recordEnd(task, end, workerId)
        }
        if (end.kind != EndKind.FAILED) return
        if (countFailure(task, end.run.run) >= job.terms.maxAttempts) {
            close(job, JobPhase.FAILED, "task ${task.name} failed ${job.terms.maxAttempts} times")
        }
        context.markChanged(task)
    }

    /** The run no longer exists, and its worker will not report an end for it. */
    fun lost(placement: Placement, reason: String) {
        placement.worker.remove(placement)
        context.log.event(
            "run_lost",
            "task" to placement.run.task,
            "run" to placement.run.run,
            "worker" to placement.worker.id,
            "reason" to reason,
            "age_ms" to context.clock() - placement.orderedAtMs,
            "proven_ms" to placement.provenMs,
            "reported" to placement.isReported,
        )
        context.metrics.losses.runLost()
        restartLater(placement.task)
    }

    /**
     * The worker of [placement] has restarted as [successor], which may have carried out the start. Its report tells; a
     * run that it does not list is stopped before the task starts again, as the start may still be on its way.
     */
    fun moveTo(successor: TrackedWorker, placement: Placement) {
        val isStopping = placement.state == PlacementState.STOPPING || !placement.task.step.job.isOpen
        placement.worker.remove(placement)
        val moved = Placement(placement.task, successor, placement.run, placement.orderedAtMs)
        moved.movedAtMs = context.clock()
        placement.task.placement = moved
        successor.add(moved)
        context.log.event(
            "run_moved",
            "task" to placement.run.task,
            "run" to placement.run.run,
            "worker" to successor.id,
            "worker_started_at_ms" to successor.incarnation.startedAtMs,
        )
        if (isStopping) stopper.stop(moved, "the task is not wanted any more")
    }

    /** Ends the job of a task that cannot run. */
    fun giveUp(task: TrackedTask, reason: String) = close(task.step.job, JobPhase.FAILED, reason)

    private fun recordEnd(task: TrackedTask, end: TaskEnd, workerId: String) {
        val job = task.step.job
        context.log.event(
            "run_ended",
            "task" to end.run.task,
            "run" to end.run.run,
            "worker" to workerId,
            "end" to end.kind,
            "end_number" to end.number,
        )
        task.hasStarted = true
        if (!job.isOpen || task.isDone) return context.wakePlanner()
        end.checkpoint?.let { recordCheckpoint(task, it) }
        when (end.kind) {
            EndKind.DONE -> done(task)
            EndKind.FAILED -> failed(task, end, workerId)
            else -> restartLater(task)
        }
        context.markChanged(task)
        context.wakePlanner()
    }

    private fun recordCheckpoint(task: TrackedTask, checkpoint: String) =
        if (task.step.description.isGang) task.step.shareCheckpoint(checkpoint) else task.checkpoint = checkpoint

    private fun done(task: TrackedTask) {
        val step = task.step
        if (step.description.isService) return restartLater(task)
        if (step.description.isGang) step.markAllDone() else task.isDone = true
        if (step.isDone) stepDone(step)
    }

    private fun stepDone(step: TrackedStep) {
        val occurrences = step.job.occurrences
        when {
            !occurrences.isComplete(step.occurrence) -> Unit
            occurrences.isLast(step.occurrence) -> close(step.job, JobPhase.COMPLETED, "all tasks are done")
            else -> {
                occurrences.markDone(step.occurrence)
                context.markChanged(step.job)
            }
        }
    }

    private fun failed(task: TrackedTask, end: TaskEnd, workerId: String) {
        val step = task.step
        task.failedOn += workerId
        // A service task starts again however often it fails, so its failures are not kept.
        if (step.description.isService) return restartLater(task)
        val failures = countFailure(task, end.run.run)
        if (failures >= step.job.terms.maxAttempts) {
            close(step.job, JobPhase.FAILED, "task ${task.name} failed $failures times")
        } else {
            restartLater(task)
        }
    }

    private fun countFailure(task: TrackedTask, run: Long): Int {
        if (task.step.description.isGang) return task.step.countGangFailure(run)
        task.failedRuns += run
        return task.failedRuns.size
    }

    private fun restartLater(task: TrackedTask) {
        val pauseMs = if (task.step.description.isService) SERVICE_RESTART_PAUSE_MS else RESTART_PAUSE_MS
        task.notBeforeMs = context.clock() + pauseMs
        context.wakePlanner()
    }

    private fun close(job: TrackedJob, phase: JobPhase, reason: String) {
        if (!job.isOpen) return
        jobs.close(job, phase, context.wallClock())
        val durationMs = context.clock() - job.acceptedAtMs
        context.log.event(
            "job_ended",
            "job" to job.id,
            "queue" to job.terms.queue,
            "phase" to phase,
            "reason" to reason,
            "duration_ms" to durationMs,
            "objective_ms" to job.objectiveAtMs - job.acceptedAtMs,
        )
        context.metrics.jobEnded(job.terms.queue, phase.name, durationMs)
        job.openSteps.flatMap { it.tasks }.mapNotNull { it.placement }.forEach { stopper.stop(it, reason) }
        context.markChanged(job)
        context.wakePlanner()
    }

    private companion object {
        /** Wall clocks differ between machines, so a job that seems older is treated as this old. */
        const val MAX_AGE_MS = 120_000L
    }
}
