/** When a worker is expected to have room, by the declared run times of what runs there. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** One part fits on [room] from [atMs] on. */
internal class Opening(val room: WorkerRoom, val atMs: Long)

internal object RoomForecast {
    /** Parts that run longer than declared are expected to go on for this long. */
    private const val OVERRUN_MS = 10_000L

    /** Returns up to [parts] openings for [size] on [room], earliest first, not counting room that is kept. */
    fun of(room: WorkerRoom, size: Resources, parts: Int, nowMs: Long): List<Opening> {
        val openings = ArrayList<Opening>()
        var wanted = size
        var reached = room.free
        while (openings.size < parts && wanted.fitsIn(reached)) {
            openings.add(Opening(room, nowMs))
            wanted += size
        }
        if (openings.size == parts) return openings
        for (part in room.parts.sortedBy { it.expectedEndMs }) {
            reached += part.charge
            val endMs = if (part.expectedEndMs > nowMs) part.expectedEndMs else nowMs + OVERRUN_MS
            while (openings.size < parts && wanted.fitsIn(reached)) {
                openings.add(Opening(room, endMs))
                wanted += size
            }
        }
        return openings
    }
}
