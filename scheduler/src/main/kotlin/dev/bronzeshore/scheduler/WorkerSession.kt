/**
 * Keeps one worker's leases alive and takes in its reports.
 *
 * Until the worker has answered this leader, orders of a former leader may reach it; afterwards its fence refuses them.
 * Leases are granted for the longest time that the worker allows, so that runs outlive a change of the leader.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.HoldOrder
import kotlinx.coroutines.delay

/** Longest wait for an end; a longer one would notice stalled tasks and lost workers later. */
private const val LOOK_WAIT_MS = 1_500L

/** Wait of a look at a worker that lists ends which cannot be acknowledged yet: such a look returns at once. */
private const val UNSAVED_PAUSE_MS = 60L

/** Pause before a worker that named an unknown job is asked again; the store may not have answered. */
private const val LOOKUP_PAUSE_MS = 20L

/** Pause before an unreachable worker is tried again. */
private const val RETRY_MS = 150L

/** A worker that answers one look in time is reachable again. */
private const val UNREACHABLE_AFTER = 1

internal class WorkerSession(
    private val context: TermContext,
    private val worker: TrackedWorker,
    private val reports: ReportHandler,
    private val jobs: JobLookup,
    /** Called when the worker names a later start than the one that the leader knows. */
    private val onReborn: (TrackedWorker, startedAtMs: Long) -> Unit,
) {
    private var failures = 0

    /** Looks at once, beside the look that may be waiting for an end; an order to the worker got no answer. */
    suspend fun probe() {
        val requestedAtMs = context.clock()
        context.metrics.workerPoll()
        when (val answer = context.calls.hold(worker.entry, orderAt(requestedAtMs).copy(waitMs = 0))) {
            is HoldAnswer.Report -> if (answer.startedAtMs == worker.life.startedAtMs && jobs.knowsJobsOf(answer)) {
                reports.handle(worker, answer, requestedAtMs)
            }

            else -> worker.markUnreachable()
        }
        worker.isSuspect = false
        context.wakePlanner()
    }

    /** Runs until the worker's life has ended. */
    suspend fun run() {
        while (!worker.isGone) {
            val requestedAtMs = context.clock()
            context.metrics.workerPoll()
            when (val answer = context.calls.hold(worker.entry, orderAt(requestedAtMs))) {
                is HoldAnswer.Report -> takeReport(answer, requestedAtMs)

                is HoldAnswer.Fenced -> {
                    context.log.event("fenced", "worker" to worker.id, "term" to context.term)
                    context.onLeadershipLost()
                    delay(RETRY_MS)
                }

                is HoldAnswer.OtherWorker -> unreachable("another worker uses its address")

                is HoldAnswer.Unreachable -> unreachable(answer.reason)
            }
        }
    }

    private fun orderAt(now: Long): HoldOrder {
        worker.acknowledge(context.savedChange)
        // A look that may get no answer grants no lease: otherwise the leases of a lost worker would never be over.
        val isGranted = worker.clock.isKnown && worker.isReachable
        val leaseUntil = if (isGranted) worker.clock.nowOnWorker(now) + context.bounds.maxLeaseMs else null
        leaseUntil?.let { worker.clock.extendLease(it) }
        val waitMs = if (worker.isContacted && worker.unsavedEnds.isEmpty()) LOOK_WAIT_MS else 0
        return HoldOrder(context.term, worker.acknowledgedEnd, leaseUntil, waitMs)
    }

    private suspend fun takeReport(report: HoldAnswer.Report, requestedAtMs: Long) {
        val startedAtMs = report.startedAtMs
        if (startedAtMs != null && worker.life.startedAtMs != 0L && startedAtMs != worker.life.startedAtMs) {
            if (startedAtMs > worker.life.startedAtMs) onReborn(worker, startedAtMs)
            return delay(RETRY_MS)
        }
        failures = 0
        if (!jobs.knowsJobsOf(report)) return delay(LOOKUP_PAUSE_MS)
        reports.handle(worker, report, requestedAtMs)
        if (worker.unsavedEnds.isNotEmpty()) delay(UNSAVED_PAUSE_MS)
    }

    private suspend fun unreachable(reason: String) {
        failures++
        if (failures == UNREACHABLE_AFTER) {
            worker.markUnreachable()
            context.wakeJournal()
            context.log.event("worker_unreachable", "worker" to worker.id, "reason" to reason)
        }
        delay(RETRY_MS)
    }
}
