/** When a worker is expected to have room, by the declared run times of what runs there. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** One part fits on [room] from [atMs] on. */
internal class ExpectedStart(val worker: WorkerState, val atMs: Long)

internal object CapacityForecast {
    /** Parts that run longer than declared are expected to go on for this long. */
    private const val OVERRUN_MS = 10_000L

    /** Returns up to [parts] openings for [size] on [room], earliest first, not counting room that is kept. */
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
