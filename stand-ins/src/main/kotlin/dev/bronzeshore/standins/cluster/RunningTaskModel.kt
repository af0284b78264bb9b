/** One run on an in-memory worker. */
package dev.bronzeshore.standins.cluster

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.TaskRun

internal class RunningTaskModel(val run: TaskRun, val demand: Resources, val startedAtMs: Long, val durationMs: Long) {
    fun progressPercent(nowMs: Long): Int = ((nowMs - startedAtMs) * PERCENT / durationMs).toInt().coerceIn(0, PERCENT)

    fun isDone(nowMs: Long): Boolean = nowMs - startedAtMs >= durationMs

    private companion object {
        const val PERCENT = 100
    }
}
