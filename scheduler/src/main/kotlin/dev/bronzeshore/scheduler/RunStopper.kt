/** Stops runs, repeating the stop request until the worker confirms it. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.TaskRun
import kotlinx.coroutines.delay

/** Pause between two stop requests for the same run. */
private const val STOP_RETRY_MS = 250L

/** Only a report that is requested at a later time than the stop was confirmed shows that a run is not there. */
private const val REPORT_PAUSE_MS = 2L

internal class RunStopper(private val context: TermContext) {
    /** Stops a run; its capacity stays allocated until the worker reports its end. */
    fun stop(placement: Placement, reason: String) {
        if (placement.state == PlacementState.STOPPING) return
        placement.state = PlacementState.STOPPING
        placement.confirmedAtMs = null
        log(placement.run, placement.worker, reason)
        context.launchGuarded("stop") {
            repeatUntilConfirmed(placement.worker, placement.run) { placement.worker.placement(placement.run) != null }
            placement.confirmedAtMs = context.clock()
            if (placement.isMoved && !placement.isReported) reportAfterStop(placement.worker)
        }
    }

    /** A run that was never there has no end that a waiting poll would return with. */
    private suspend fun reportAfterStop(worker: TrackedWorker) {
        delay(REPORT_PAUSE_MS)
        worker.probe()
    }

    /** Stops a run that the worker must not have. */
    fun stopStray(worker: TrackedWorker, run: TaskRun, reason: String) {
        log(run, worker, reason)
        context.launchGuarded("stop") { repeatUntilConfirmed(worker, run) { run in worker.strayRuns } }
    }

    private suspend fun repeatUntilConfirmed(worker: TrackedWorker, run: TaskRun, isNeeded: () -> Boolean) {
        while (isNeeded() && !worker.isGone) {
            if (context.calls.stop(worker.entry, run, context.term)) return
            delay(STOP_RETRY_MS)
        }
    }

    private fun log(run: TaskRun, worker: TrackedWorker, reason: String) =
        context.log.event("stop", "task" to run.task, "run" to run.run, "worker" to worker.id, "reason" to reason)
}
