/** Compares what a worker reports with what the leader believes, and mends the difference. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.RunningTask
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskRun

/** A worker lists at most this many ends in one report; with fewer, the list is complete. */
private const val MAX_ENDS_IN_REPORT = 500

/** Progress below this share of a task says little about its speed. */
private const val MIN_PERCENT_FOR_SPEED = 10
private const val PERCENT = 100.0

internal class ReportHandler(
    private val context: TermContext,
    private val lifecycle: JobLifecycle,
    private val stopper: RunStopper,
    private val quarantine: Quarantine,
) {
    /** Takes in a report that was asked for at [requestedAtMs]. */
    fun handle(worker: TrackedWorker, report: HoldAnswer.Report, requestedAtMs: Long) {
        val now = context.clock()
        worker.clock.observe(report.workerClockMs, now)
        if (!worker.isReachable) context.wakeJournal()
        worker.markReachable()
        for (end in report.ends) if (end.number > worker.lastEndNumber) takeEnd(worker, end)
        for (running in report.running) takeRunning(worker, running, now)
        if (report.ends.size < MAX_ENDS_IN_REPORT) dropMissing(worker, report, requestedAtMs)
        if (!worker.isContacted) {
            worker.isContacted = true
            context.log.event(
                "worker_contacted",
                "worker" to worker.id,
                "running" to report.running.size,
                "ends" to report.ends.size,
            )
        }
        context.wakePlanner()
    }

    private fun takeEnd(worker: TrackedWorker, end: TaskEnd) {
        worker.lastEndNumber = end.number
        val placement = worker.placement(end.run)
        quarantine.note(worker, end)
        if (placement != null) {
            lifecycle.ended(placement, end)
        } else {
            worker.removeStray(end.run)
            lifecycle.endedUnplaced(worker, end)
        }
        worker.unsavedEnds += UnsavedEnd(end.number, context.changes.current())
    }

    private fun takeRunning(worker: TrackedWorker, running: RunningTask, now: Long) {
        val placement = worker.placement(running.run)
        when {
            placement != null -> update(placement, running, now)
            running.run in worker.strayRuns -> Unit
            !adopt(worker, running, now) -> addStray(worker, running.run)
        }
    }

    private fun update(placement: Placement, running: RunningTask, now: Long) {
        if (placement.state == PlacementState.ORDERED) {
            placement.state = PlacementState.RUNNING
            placement.confirmedAtMs = now
        }
        if (running.percent > placement.percent) {
            placement.progressAtMs = now
            placement.percent = running.percent
            observeSpeed(placement, now)
        }
        running.checkpoint?.let { placement.task.checkpoint = it }
    }

    /** Members of a gang go as fast as the slowest one and say nothing about their own worker. */
    private fun observeSpeed(placement: Placement, now: Long) {
        val step = placement.task.step.description
        if (!placement.showsSpeed || placement.percent < MIN_PERCENT_FOR_SPEED) return
        val impliedMs = (now - placement.orderedAtMs) * PERCENT / placement.percent
        context.fleet.speeds.observe(placement.task.step.job.terms.queue, placement.worker, impliedMs / step.estimateMs)
    }

    /** A run of a former leader goes on if its task still needs it. */
    private fun adopt(worker: TrackedWorker, running: RunningTask, now: Long): Boolean {
        val task = context.book.task(running.run.task) ?: return false
        val isWanted = task.step.job.isOpen && !task.isDone && task.placement == null && running.run.run >= task.lastRun
        if (!isWanted) return false
        val placement = Placement(task, worker, running.run, now)
        placement.state = PlacementState.RUNNING
        placement.isAdopted = true
        placement.confirmedAtMs = now
        placement.percent = running.percent
        task.placement = placement
        task.lastRun = running.run.run
        task.hasStarted = true
        running.checkpoint?.let { task.checkpoint = it }
        worker.add(placement)
        context.log.event("run_adopted", "task" to running.run.task, "run" to running.run.run, "worker" to worker.id)
        return true
    }

    private fun addStray(worker: TrackedWorker, run: TaskRun) {
        // The size of a forgotten job is not known: nothing else is started until its run has ended.
        val room: Resources = context.book.task(run.task)?.step?.room ?: worker.entry.capacity
        worker.addStray(run, room)
        stopper.stopStray(worker, run, "the run is not wanted on this worker")
    }

    /** Runs that a complete report does not name do not exist, unless their order may still arrive. */
    private fun dropMissing(worker: TrackedWorker, report: HoldAnswer.Report, requestedAtMs: Long) {
        val named = report.running.mapTo(HashSet()) { it.run }
        report.ends.mapTo(named) { it.run }
        for (placement in worker.placements.filter { it.run !in named && isSettled(it, report, requestedAtMs) }) {
            lifecycle.lost(placement, "a report of the worker does not name it")
        }
        for (run in worker.strayRuns.filter { it !in named }) worker.removeStray(run)
    }

    private fun isSettled(placement: Placement, report: HoldAnswer.Report, requestedAtMs: Long): Boolean {
        val confirmedAtMs = placement.confirmedAtMs
        return when {
            confirmedAtMs != null -> requestedAtMs > confirmedAtMs
            placement.state == PlacementState.STOPPING -> false
            else -> report.workerClockMs > placement.validUntilWorkerMs
        }
    }
}
