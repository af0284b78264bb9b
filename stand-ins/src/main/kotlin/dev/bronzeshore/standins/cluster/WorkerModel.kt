/** One incarnation of an in-memory worker: fencing token, lease, runs and their ends. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.cluster.EndKind
import dev.bronzeshore.core.cluster.HoldAnswer
import dev.bronzeshore.core.cluster.HoldRequest
import dev.bronzeshore.core.cluster.RunningTask
import dev.bronzeshore.core.cluster.StartAnswer
import dev.bronzeshore.core.cluster.StartRequest
import dev.bronzeshore.core.cluster.StartResult
import dev.bronzeshore.core.cluster.TaskEnd
import dev.bronzeshore.core.cluster.TaskName
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerEntry

/** Longest lease that a worker grants. */
public const val MAX_LEASE_MS: Long = 6_000

internal class WorkerModel(
    var entry: WorkerEntry,
    private val clock: () -> Long,
    private val faults: WorkerFaults,
    private val checker: RunInvariantChecker,
) {
    private val startedAtMs = clock()
    private val running = LinkedHashMap<TaskName, RunningTaskModel>()
    private val ends = ArrayList<TaskEnd>()
    private val highestEndedRun = HashMap<TaskName, Long>()
    private var fencingToken = 0L
    private var leaseUntilMs = 0L
    private var acknowledgedEnd = 0L
    private var lastEndNumber = 0L

    /** Number of the last end that was listed when the leases expired. */
    private var lastEndAtExpiry = 0L
    private val id get() = entry.incarnation.workerId

    /** The worker's own monotonic clock, which starts at 0 with its incarnation. */
    private fun nowMs(): Long = clock() - startedAtMs

    /** Ends runs that are done, have failed or whose lease has expired. */
    fun advance() {
        val expired = nowMs() > leaseUntilMs
        for (model in running.values.toList()) {
            when {
                expired -> end(model, EndKind.LEASE_EXPIRED)
                id in faults.failing && nowMs() - model.startedAtMs > FAILURE_DELAY_MS -> end(model, EndKind.FAILED)
                id in faults.stalled -> Unit
                model.isDone(nowMs()) -> end(model, EndKind.DONE)
            }
        }
        if (expired) lastEndAtExpiry = lastEndNumber
    }

    fun start(request: StartRequest, task: TaskModel): StartAnswer {
        advance()
        val refusal = refusalOf(request)
        if (refusal != null) return StartAnswer(refusal, nowMs())
        leaseUntilMs = maxOf(leaseUntilMs, minOf(request.validUntilWorkerMs, nowMs() + MAX_LEASE_MS))
        if (running[request.run.task]?.run == request.run) return StartAnswer(StartResult.STARTED, nowMs())
        checker.recordStart(request.run, id, task, entry.labels)
        running[request.run.task] = RunningTaskModel(request.run, task.demand, nowMs(), task.durationMs)
        checker.checkCapacity(id, running.values.map { it.demand }, entry.capacity)
        return StartAnswer(StartResult.STARTED, nowMs())
    }

    private fun refusalOf(request: StartRequest): StartResult? {
        if (request.fencingToken < fencingToken) return StartResult.FENCED
        fencingToken = request.fencingToken
        return when {
            nowMs() > request.validUntilWorkerMs -> StartResult.TOO_LATE
            (highestEndedRun[request.run.task] ?: 0) >= request.run.run -> StartResult.SUPERSEDED
            (running[request.run.task]?.run?.run ?: 0) > request.run.run -> StartResult.SUPERSEDED
            else -> null
        }
    }

    fun stop(run: TaskRun, requestToken: Long): Boolean {
        advance()
        if (requestToken < fencingToken) return false
        fencingToken = requestToken
        highestEndedRun.merge(run.task, run.run, ::maxOf)
        running[run.task]?.takeIf { it.run == run }?.let { end(it, EndKind.STOPPED) }
        return true
    }

    fun hold(request: HoldRequest): HoldAnswer {
        advance()
        if (request.fencingToken < fencingToken) return HoldAnswer.Fenced
        fencingToken = request.fencingToken
        request.leaseUntilWorkerMs?.let { leaseUntilMs = maxOf(leaseUntilMs, minOf(it, nowMs() + MAX_LEASE_MS)) }
        acknowledge(request.acknowledgedEnd)
        val startedAtMs = entry.incarnation.startedAtMs
        if (id in faults.malformedReports) {
            return HoldAnswer.Report(startedAtMs, nowMs(), emptyList(), emptyList(), isWhole = false)
        }
        val isStalled = id in faults.stalled
        val runs = running.values.map { RunningTask(it.run, null, if (isStalled) 0 else it.progressPercent(nowMs())) }
        return HoldAnswer.Report(startedAtMs, nowMs(), runs, ends.take(MAX_ENDS_IN_REPORT))
    }

    val hasUnacknowledgedEnds: Boolean get() = ends.isNotEmpty()

    /** Ends the incarnation: running tasks are lost and report no end. */
    fun crash() {
        running.values.forEach { checker.recordLoss(it.run, id) }
        running.clear()
    }

    private fun acknowledge(number: Long) {
        ends.filter { it.number in (acknowledgedEnd + 1)..number }
            .forEach { checker.recordAcknowledgement(it, hasLeaseExpired = it.number <= lastEndAtExpiry) }
        ends.removeAll { it.number <= number }
        acknowledgedEnd = maxOf(acknowledgedEnd, number)
    }

    private fun end(model: RunningTaskModel, kind: EndKind) {
        running.remove(model.run.task)
        highestEndedRun.merge(model.run.task, model.run.run, ::maxOf)
        ends += TaskEnd(++lastEndNumber, model.run, kind, null)
        checker.recordEnd(model.run, id, kind)
    }

    private companion object {
        const val FAILURE_DELAY_MS = 50L

        /** A report lists at most this many ends; the others are listed once these are acknowledged. */
        const val MAX_ENDS_IN_REPORT = 500
    }
}
