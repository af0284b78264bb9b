/** Forecasts when a worker has free capacity, from the declared run times of its running parts. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** One part is expected to fit on [worker] from [atMs] on. */
internal class ExpectedStart(val worker: WorkerState, val atMs: Long)

internal object CapacityForecast {
    /** Parts that run longer than declared are expected to run for this much longer. */
    private const val OVERRUN_MS = 10_000L

    /** Returns up to [parts] expected starts for [size] on [worker], earliest first; excludes reserved capacity. */
    fun of(worker: WorkerState, size: Resources, parts: Int, nowMs: Long): List<ExpectedStart> {
        val starts = ArrayList<ExpectedStart>()
        var demand = size
        var available = worker.free
        while (starts.size < parts && demand.fitsIn(available)) {
            starts.add(ExpectedStart(worker, nowMs))
            demand += size
        }
        if (starts.size == parts) return starts
        for (part in worker.parts.sortedBy { it.expectedEndMs }) {
            available += part.allocation
            val endMs = if (part.expectedEndMs > nowMs) part.expectedEndMs else nowMs + OVERRUN_MS
            while (starts.size < parts && demand.fitsIn(available)) {
                starts.add(ExpectedStart(worker, endMs))
                demand += size
            }
        }
        return starts
    }
}
