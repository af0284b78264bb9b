/** Free room of a group of workers, indexed by processors and by memory. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Workers with and without accelerators form separate pools, so that plain work leaves accelerators alone. */
internal class WorkerPool(private val roomAt: (slot: Int) -> WorkerRoom) {
    private val byProcessors = FreeRoomIndex { it.processorsMillicores }
    private val byMemory = FreeRoomIndex { it.memoryBytes }
    private val candidates = IntArray(MAX_CANDIDATES)

    fun put(room: WorkerRoom) {
        val free = room.free
        byProcessors.put(room.slot, free)
        byMemory.put(room.slot, free)
    }

    fun remove(room: WorkerRoom) {
        byProcessors.remove(room.slot)
        byMemory.remove(room.slot)
    }

    /** Returns the best candidate for [size] by [scoreOf] (lowest wins), or null if no worker has the room. */
    fun bestFit(size: Resources, scoreOf: (WorkerRoom) -> Long): WorkerRoom? {
        if (byProcessors.surelyLacks(size)) return null
        var best: WorkerRoom? = null
        var bestScore = Long.MAX_VALUE
        for (index in arrayOf(byProcessors, byMemory)) {
            val count = index.collectFitting(size, candidates)
            for (at in 0 until count) {
                val room = roomAt(candidates[at])
                val score = scoreOf(room)
                if (score < bestScore) {
                    best = room
                    bestScore = score
                }
            }
            // Both indexes hold the same workers: a query that was not cut short has seen them all.
            if (count < candidates.size) break
        }
        return best
    }

    /** Counts how many parts of [size] fit, up to [wanted]. */
    fun countFitting(size: Resources, wanted: Int): Int {
        val slots = IntArray(wanted)
        val found = byProcessors.collectFitting(size, slots)
        if (found == wanted) return wanted
        var parts = 0L
        for (at in 0 until found) parts += size.timesIn(roomAt(slots[at]).free)
        return minOf(parts, wanted.toLong()).toInt()
    }

    /** Returns up to [count] workers with the most free processors. */
    fun largest(count: Int): List<WorkerRoom> {
        val slots = IntArray(count)
        val found = byProcessors.collectLargest(slots)
        return (0 until found).map { roomAt(slots[it]) }
    }

    private companion object {
        /** More candidates improve packing little and cost time in every decision; see docs/measurements.md. */
        const val MAX_CANDIDATES = 16
    }
}
