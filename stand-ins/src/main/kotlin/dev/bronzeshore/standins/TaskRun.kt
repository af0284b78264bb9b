/** One task that a worker has started. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskAction
import dev.bronzeshore.core.TaskStart
import dev.bronzeshore.core.TaskState

private class Ending(val atMs: Long, val state: TaskState)

/** Knows when and how the task ends from its deadlines alone, so that no timer is needed. */
internal class TaskRun(val start: TaskStart, val startedAtMs: Long, fullUse: Resources, failsAtOnce: Boolean) {
    var leaseUntilMs: Long = start.leaseUntilMs
        private set
    var uses: List<UseSince> = listOf(UseSince(startedAtMs, fullUse))
        private set
    private var finish = when {
        failsAtOnce -> Ending(startedAtMs, TaskState.FAILED)
        start.payload.startsWith("fail") -> Ending(finishAtMs(), TaskState.FAILED)
        else -> Ending(finishAtMs(), TaskState.SUCCEEDED)
    }
    private var stop: Ending? = null

    val use: Resources
        get() = uses.last().used

    /** When the task ends if nothing more is heard about it. */
    val endsAtMs: Long
        get() = ending().atMs

    val endsAs: TaskState
        get() = ending().state

    /** Extends the lease; an older renewal that arrives late does not shorten it. */
    fun renew(untilMs: Long) {
        leaseUntilMs = maxOf(leaseUntilMs, untilMs)
    }

    /** Follows an order at [nowMs]; only the first order to end the task counts. */
    fun order(action: TaskAction, nowMs: Long, stopMs: Long) {
        when (action) {
            TaskAction.STOP -> stop = stop ?: Ending(nowMs + stopMs, TaskState.STOPPED)
            TaskAction.CHECKPOINT -> stop = stop ?: Ending(nowMs + stopMs, TaskState.CHECKPOINTED)
            TaskAction.THROTTLE -> throttle(nowMs)
        }
    }

    /** Halves the use of processors and doubles the time that is left. */
    private fun throttle(nowMs: Long) {
        if (uses.size > 1) return
        uses = uses + UseSince(nowMs, use.copy(processorsMillicores = use.processorsMillicores / 2))
        finish = Ending(later(finish.atMs, finish.atMs - nowMs), finish.state)
    }

    private fun finishAtMs(): Long = later(startedAtMs, start.runMs)

    /** Adds a period without overflow: a service may run for the longest time that fits its field. */
    private fun later(atMs: Long, periodMs: Long): Long =
        if (periodMs > Long.MAX_VALUE - atMs) Long.MAX_VALUE else atMs + periodMs

    private fun ending(): Ending {
        val lease = Ending(leaseUntilMs, TaskState.LEASE_EXPIRED)
        return listOfNotNull(finish, stop, lease).minBy { it.atMs }
    }
}
