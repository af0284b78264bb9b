/** One life of an in-memory worker: fences, leases, runs and their ends. */
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
    val entry: WorkerEntry,
    private val clock: () -> Long,
    private val faults: WorkerFaults,
    private val checker: RunInvariantChecker,
) {
    private val startedAtMs = clock()
    private val running = LinkedHashMap<TaskName, RunningTaskModel>()
    private val ends = ArrayList<TaskEnd>()
    private val highestEnded = HashMap<TaskName, Long>()
    private var fence = 0L
    private var leaseUntilMs = 0L
    private var acknowledged = 0L
    private var lastEnd = 0L
    private val id get() = entry.incarnation.workerId

    /** The worker's own steady clock, which starts with its life. */
    private fun now(): Long = clock() - startedAtMs

    /** Ends runs that are done, have failed or have lost their lease. */
    fun advance() {
        val expired = now() > leaseUntilMs
        for (model in running.values.toList()) {
            when {
                expired -> end(model, EndKind.LEASE_EXPIRED)
                id in faults.failing && now() - model.startedAtMs > FAILS_AFTER_MS -> end(model, EndKind.FAILED)
                id in faults.stalled -> Unit
                model.isDone(now()) -> end(model, EndKind.DONE)
            }
        }
    }

    fun start(order: StartRequest, task: TaskModel): StartAnswer {
        advance()
        val refusal = refusalOf(order)
        if (refusal != null) return StartAnswer(refusal, now())
        leaseUntilMs = maxOf(leaseUntilMs, minOf(order.validUntilWorkerMs, now() + MAX_LEASE_MS))
        if (running[order.run.task]?.run == order.run) return StartAnswer(StartResult.STARTED, now())
        checker.started(order.run, id)
        running[order.run.task] = RunningTaskModel(order.run, task.demand, now(), task.durationMs)
        checker.checkRoom(id, running.values.map { it.room }, entry.capacity)
        return StartAnswer(StartResult.STARTED, now())
    }

    private fun refusalOf(order: StartRequest): StartResult? {
        if (order.fencingToken < fence) return StartResult.FENCED
        fence = order.fencingToken
        return when {
            now() > order.validUntilWorkerMs -> StartResult.TOO_LATE
            (highestEnded[order.run.task] ?: 0) >= order.run.run -> StartResult.SUPERSEDED
            (running[order.run.task]?.run?.run ?: 0) > order.run.run -> StartResult.SUPERSEDED
            else -> null
        }
    }

    fun stop(run: TaskRun, orderFence: Long): Boolean {
        advance()
        if (orderFence < fence) return false
        fence = orderFence
        highestEnded.merge(run.task, run.run, ::maxOf)
        running[run.task]?.takeIf { it.run == run }?.let { end(it, EndKind.STOPPED) }
        return true
    }

    fun hold(order: HoldRequest): HoldAnswer {
        advance()
        if (order.fencingToken < fence) return HoldAnswer.Fenced
        fence = order.fencingToken
        order.leaseUntilWorkerMs?.let { leaseUntilMs = maxOf(leaseUntilMs, minOf(it, now() + MAX_LEASE_MS)) }
        acknowledge(order.acknowledgedEnd)
        val runs = running.values.map { RunningTask(it.run, null, it.percent(now())) }
        return HoldAnswer.Report(entry.incarnation.startedAtMs, now(), runs, ends.toList())
    }

    val hasNews: Boolean get() = ends.isNotEmpty()

    /** The life ends: what runs is gone without an end. */
    fun crash() {
        running.values.forEach { checker.vanished(it.run, id) }
        running.clear()
    }

    private fun acknowledge(number: Long) {
        ends.filter { it.number in (acknowledged + 1)..number }.forEach { checker.acknowledged(it) }
        ends.removeAll { it.number <= number }
        acknowledged = maxOf(acknowledged, number)
    }

    private fun end(model: RunningTaskModel, kind: EndKind) {
        running.remove(model.run.task)
        highestEnded.merge(model.run.task, model.run.run, ::maxOf)
        ends += TaskEnd(++lastEnd, model.run, kind, null)
        checker.ended(model.run, id, kind)
    }

    private companion object {
        const val FAILS_AFTER_MS = 50L
    }
}
