/** A task that a worker has started. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskAction
import dev.bronzeshore.core.TaskStart
import dev.bronzeshore.core.TaskState

private class TaskEnding(val atMs: Long, val state: TaskState)

/** Computes when and how the task ends from its deadlines, so that no timer is needed. */
internal class TaskRun(val start: TaskStart, val startedAtMs: Long, fullUse: Resources, failsImmediately: Boolean) {
    var leaseUntilMs: Long = start.leaseUntilMs
        private set
    var uses: List<UseSince> = listOf(UseSince(startedAtMs, fullUse))
        private set
    private var finish = when {
        failsImmediately -> TaskEnding(startedAtMs, TaskState.FAILED)
        start.payload.startsWith("fail") -> TaskEnding(finishAtMs(), TaskState.FAILED)
        else -> TaskEnding(finishAtMs(), TaskState.SUCCEEDED)
    }
    private var stop: TaskEnding? = null

    val use: Resources
        get() = uses.last().used

    /** Time at which the task ends unless a later command changes it. */
    val endsAtMs: Long
        get() = ending().atMs

    val endsAs: TaskState
        get() = ending().state

    /** Extends the lease; an older renewal that arrives out of order does not shorten it. */
    fun renew(untilMs: Long) {
        leaseUntilMs = maxOf(leaseUntilMs, untilMs)
    }

    /** Executes an order at [nowMs]; only the first order that ends the task has an effect. */
    fun order(action: TaskAction, nowMs: Long, stopMs: Long) {
        when (action) {
            TaskAction.STOP -> stop = stop ?: TaskEnding(nowMs + stopMs, TaskState.STOPPED)
            TaskAction.CHECKPOINT -> stop = stop ?: TaskEnding(nowMs + stopMs, TaskState.CHECKPOINTED)
            TaskAction.THROTTLE -> throttle(nowMs)
        }
    }

    /** Halves the processor usage and doubles the remaining run time; further calls have no effect. */
    private fun throttle(nowMs: Long) {
        if (uses.size > 1) return
        uses = uses + UseSince(nowMs, use.copy(processorsMillicores = use.processorsMillicores / 2))
        finish = TaskEnding(addSaturating(finish.atMs, finish.atMs - nowMs), finish.state)
    }

    private fun finishAtMs(): Long = addSaturating(startedAtMs, start.runMs)

    /** Adds without overflow: a service may have the maximum run time, `Long.MAX_VALUE`. */
    private fun addSaturating(atMs: Long, periodMs: Long): Long =
        if (periodMs > Long.MAX_VALUE - atMs) Long.MAX_VALUE else atMs + periodMs

    private fun ending(): TaskEnding {
        val lease = TaskEnding(leaseUntilMs, TaskState.LEASE_EXPIRED)
        return listOfNotNull(finish, stop, lease).minBy { it.atMs }
    }
}
