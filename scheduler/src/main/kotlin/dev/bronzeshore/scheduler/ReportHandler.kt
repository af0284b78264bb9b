/** Reconciles the state that the leader tracks with the runs and ends that a worker reports. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.RunningTask
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskRun

/** A worker lists at most this many ends in one report; a report with fewer is complete. */
private const val MAX_ENDS_IN_REPORT = 500

/** Below this progress, the time of a run says little about the speed of its worker. */
private const val MIN_PERCENT_FOR_SPEED = 10
private const val PERCENT = 100.0

internal class ReportHandler(
    private val context: TermContext,
    private val lifecycle: JobLifecycle,
    private val stopper: RunStopper,
    private val quarantine: Quarantine,
    private val trials: CrashTrials,
    private val crashes: CrashAttribution,
) {
    /**
     * Processes a report that was requested at [requestedAtMs]. One of a removed worker is left aside, as nobody polls
     * it any more; if it is listed again, its next report tells the same. So is one that a newer report has overtaken,
     * as it lists runs that have ended since and leaves out those that have started.
     */
    fun handle(worker: TrackedWorker, report: HoldAnswer.Report, requestedAtMs: Long) {
        if (worker.isGone) return
        if (worker.isOvertaken(requestedAtMs, report.workerClockMs)) {
            return context.log.event("report_overtaken", "worker" to worker.id)
        }
        val now = context.clock()
        worker.clock.observe(report.workerClockMs, now)
        worker.recordReport(now, report.workerClockMs)
        if (!worker.isReachable) {
            crashes.withdrawPresumption(worker)
            context.wakeJournal()
        }
        worker.markReachable()
        for (end in report.ends) if (end.number > worker.lastEndNumber) handleEnd(worker, end)
        for (running in report.running) handleRunning(worker, running, RunEvidence(now, report.workerClockMs))
        when {
            !report.isWhole -> {
                context.metrics.malformedInput("report")
                context.log.event("report_malformed", "worker" to worker.id, "running" to report.running.size)
            }

            report.ends.size < MAX_ENDS_IN_REPORT -> {
                removeMissing(worker, report, requestedAtMs)
                worker.hasReportedAll = true
            }
        }
        worker.hasFurtherEnds = report.ends.size >= MAX_ENDS_IN_REPORT
        if (!worker.isContacted) {
            worker.isContacted = true
            // Other leaders, or this one for the former incarnation, may have granted a lease of the longest time.
            worker.clock.extendLease(report.workerClockMs + context.bounds.maxLeaseMs)
            context.log.event(
                "worker_contacted",
                "worker" to worker.id,
                "running" to report.running.size,
                "ends" to report.ends.size,
                "reported_all" to worker.hasReportedAll,
            )
        }
        context.wakePlanner()
    }

    /** The worker has not answered; its new runs may have crashed it. */
    fun handleSilence(worker: TrackedWorker) = crashes.presumeCrash(worker)

    private fun handleEnd(worker: TrackedWorker, end: TaskEnd) {
        worker.lastEndNumber = end.number
        val placement = worker.placement(end.run)
        quarantine.recordEnd(worker, end)
        if (placement != null) {
            if (placement.isMoved && !placement.isReported) crashes.withdraw(placement)
            lifecycle.ended(placement, end)
        } else {
            worker.removeStray(end.run)
            keepIfSetAside(worker, end)
            lifecycle.endedWithoutPlacement(worker, end)
        }
        worker.unsavedEnds += UnsavedEnd(end.number, context.changes.lastNumber(), end.run.task.jobId)
    }

    /** Without its job, the end has no effect; it must not be acknowledged before it is stored. */
    private fun keepIfSetAside(worker: TrackedWorker, end: TaskEnd) {
        val jobId = end.run.task.jobId
        if (context.jobRegistry.find(jobId) != null || !context.jobRegistry.isSetAside(jobId)) return
        context.markChanged(context.keptEnds.keep(end, worker.id))
        context.log.event("end_kept", "task" to end.run.task, "run" to end.run.run, "worker" to worker.id)
    }

    private fun handleRunning(worker: TrackedWorker, running: RunningTask, evidence: RunEvidence) {
        val placement = worker.placement(running.run)
        when {
            placement != null -> update(placement, running, evidence)
            running.run in worker.strayRuns -> Unit
            !adopt(worker, running, evidence) -> addStray(worker, running.run)
        }
    }

    private fun update(placement: Placement, running: RunningTask, evidence: RunEvidence) {
        val now = evidence.receivedAtMs
        placement.recordRunning(evidence.workerClockMs)
        if (placement.isMoved && !placement.isReported) crashes.withdraw(placement)
        placement.isReported = true
        if (placement.state == PlacementState.ORDERED) placement.confirmStart(now, evidence.workerClockMs)
        if (placement.progress.observe(running.percent, evidence)) observeSpeed(placement, now)
        running.checkpoint?.let { placement.task.checkpoint = it }
    }

    /** Members of a gang are as fast as the slowest one and say nothing about their own worker. */
    private fun observeSpeed(placement: Placement, now: Long) {
        val step = placement.task.step.description
        if (!placement.isSpeedSample || placement.progress.percent < MIN_PERCENT_FOR_SPEED) return
        val impliedMs = (now - placement.orderedAtMs) * PERCENT / placement.progress.percent
        context.workerPool.speeds.observe(
            placement.task.step.job.terms.queue,
            placement.worker,
            impliedMs / step.estimateMs,
        )
    }

    /** Adopts a run that a former leader started if its task still needs it; otherwise returns false. */
    private fun adopt(worker: TrackedWorker, running: RunningTask, evidence: RunEvidence): Boolean {
        val task = context.jobRegistry.task(running.run.task) ?: return false
        val isWanted = task.step.job.isOpen && !task.isDone && task.placement == null && running.run.run >= task.lastRun
        if (!isWanted) return false
        val placement = Placement(task, worker, running.run, evidence.receivedAtMs)
        placement.confirmStart(evidence.receivedAtMs, evidence.workerClockMs)
        placement.isAdopted = true
        placement.isReported = true
        placement.progress.observe(running.percent, evidence)
        task.placement = placement
        task.lastRun = running.run.run
        task.hasStarted = true
        running.checkpoint?.let { task.checkpoint = it }
        worker.add(placement)
        if (task.crashes.isSuspected) trials.reserve(worker, task.step.job, evidence.receivedAtMs)
        context.log.event("run_adopted", "task" to running.run.task, "run" to running.run.run, "worker" to worker.id)
        return true
    }

    private fun addStray(worker: TrackedWorker, run: TaskRun) {
        // The demand of a forgotten job is unknown: nothing else starts on the worker until the run has ended.
        val task = context.jobRegistry.task(run.task)
        if (task != null) lifecycle.reportDuplicate(task, run, worker, hasEnded = false)
        val step = task?.step
        val stray = step?.let { StrayRun(it.taskDemand, it.job.accepted.account, it.accountDemand) }
        worker.addStray(run, stray ?: StrayRun(worker.entry.capacity))
        if (context.jobRegistry.isSetAside(run.task.jobId)) return
        stopper.stopStray(worker, run, "the run is not wanted on this worker")
    }

    /** Runs that are missing from a complete report do not exist, unless their start request may still arrive. */
    private fun removeMissing(worker: TrackedWorker, report: HoldAnswer.Report, requestedAtMs: Long) {
        val reported = report.running.mapTo(HashSet()) { it.run }
        report.ends.mapTo(reported) { it.run }
        for (placement in worker.placements.filter { it.run !in reported }) {
            when {
                placement.isUnconfirmedMove -> stopper.stop(placement, "its start was sent before the worker restarted")

                isLost(placement, report, requestedAtMs) ->
                    lifecycle.lost(placement, "missing from a report of the worker")
            }
        }
        for (run in worker.strayRuns.filter { it !in reported }) worker.removeStray(run)
    }

    private val Placement.isUnconfirmedMove: Boolean get() = isMoved && state == PlacementState.ORDERED

    private fun isLost(placement: Placement, report: HoldAnswer.Report, requestedAtMs: Long): Boolean {
        val confirmedAtMs = placement.confirmedAtMs
        return when {
            confirmedAtMs != null -> requestedAtMs > confirmedAtMs
            placement.state == PlacementState.STOPPING -> false
            else -> report.workerClockMs > placement.validUntilWorkerMs
        }
    }
}
