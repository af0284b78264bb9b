/** Crashes of workers during the runs of one task, from which the leader concludes whether the task causes them. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.CrashRole
import dev.bronzeshore.core.cluster.CrashedRun

/** A task is given up after this many crashes right after its start, if nothing else can have caused the last one. */
private const val LIKELY_CRASHES_UNTIL_GIVEN_UP = 2

/** The same for crashes that may have come later: workers that crash on their own may hit a task twice. */
private const val SUSPECTED_CRASHES_UNTIL_GIVEN_UP = 3

/** Further crashes that it takes while workers crash on their own, which they may do right after starts. */
private const val FURTHER_CRASHES_IF_UNSTABLE = 1

/**
 * A task is given up after this many crashes whatever else points to it: it may crash its workers some time after its
 * start. Even on workers that crash often, a sound task is hardly hit so many times.
 */
private const val CRASHES_UNTIL_GIVEN_UP = 4

internal class TaskCrashes {
    private val byRun = HashMap<Long, CrashedRun>()

    /** Empty for almost all tasks. */
    val runs: Set<CrashedRun> get() = byRun.values.toSet()

    /** The task may have caused a crash and has not survived a start since. */
    val isSuspected: Boolean get() = byRun.values.any { it.role != CrashRole.VICTIM }

    /** The task may have caused the crash of the worker of [run] and has not survived a start since. */
    fun isSuspectedFor(run: Long): Boolean = byRun[run]?.let { it.role != CrashRole.VICTIM } ?: false

    /** Records a crash; a run counts once, however often its crash is found. */
    fun record(crash: CrashedRun) {
        if (byRun[crash.run]?.isCertain != true) byRun[crash.run] = crash
    }

    /** Removes a presumed crash that did not happen; false if there is none. */
    fun withdraw(run: Long): Boolean = byRun[run]?.isCertain == false && byRun.remove(run) != null

    /** Removes a crash that the run was not part of; false if there is none. */
    fun remove(run: Long): Boolean = byRun.remove(run) != null

    /** The task has survived a start, so it did not cause the earlier crashes. */
    fun clearSuspicion() = byRun.replaceAll { _, crash -> crash.copy(role = CrashRole.VICTIM) }

    /**
     * True if the task is to be given up; [isOnlySuspect] says that no other task can have caused the last crash, and
     * [isUnstable] that workers crash on their own.
     */
    fun isCause(isOnlySuspect: Boolean, isService: Boolean, isUnstable: Boolean): Boolean {
        val certain = byRun.values.filter { it.isCertain }
        val likely = certain.count { it.role == CrashRole.LIKELY_CAUSE }
        val suspected = certain.count { it.role != CrashRole.VICTIM }
        val further = if (isUnstable) FURTHER_CRASHES_IF_UNSTABLE else 0
        return when {
            isOnlySuspect && likely >= LIKELY_CRASHES_UNTIL_GIVEN_UP + further -> true
            isOnlySuspect && suspected >= SUSPECTED_CRASHES_UNTIL_GIVEN_UP + further -> true
            // A service task runs until it is cancelled, so crashes that it did not cause add up.
            else -> !isService && certain.size >= CRASHES_UNTIL_GIVEN_UP
        }
    }
}
