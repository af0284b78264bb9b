/** Free capacity of a group of workers, indexed by processors and by memory. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Workers with and without accelerators have separate indexes, so that work that needs none avoids accelerators. */
internal class WorkerIndex(private val workerAt: (slot: Int) -> WorkerState) {
    private val byProcessors = FreeCapacityIndex { it.processorsMillicores }
    private val byMemory = FreeCapacityIndex { it.memoryBytes }
    private val candidates = IntArray(MAX_CANDIDATES)

    fun put(worker: WorkerState) {
        val free = worker.free
        byProcessors.put(worker.slot, free)
        byMemory.put(worker.slot, free)
    }

    fun remove(worker: WorkerState) {
        byProcessors.remove(worker.slot)
        byMemory.remove(worker.slot)
    }

    /** Returns the best candidate for [size] by [scoreOf] (lowest wins), or null if no worker fits. */
    fun bestFit(size: Resources, scoreOf: (WorkerState) -> Long): WorkerState? {
        if (byProcessors.cannotFit(size)) return null
        var best: WorkerState? = null
        var bestScore = Long.MAX_VALUE
        for (index in arrayOf(byProcessors, byMemory)) {
            val count = index.collectFitting(size, candidates)
            for (at in 0 until count) {
                val worker = workerAt(candidates[at])
                val score = scoreOf(worker)
                if (score < bestScore) {
                    best = worker
                    bestScore = score
                }
            }
            // Both indexes hold the same workers: a query that did not fill the array has found them all.
            if (count < candidates.size) break
        }
        return best
    }

    /** Counts how many parts of [size] fit, up to [maxParts]. */
    fun countFitting(size: Resources, maxParts: Int): Int {
        val slots = IntArray(maxParts)
        val found = byProcessors.collectFitting(size, slots)
        if (found == maxParts) return maxParts
        var parts = 0L
        for (at in 0 until found) parts += size.timesFittingIn(workerAt(slots[at]).free)
        return minOf(parts, maxParts.toLong()).toInt()
    }

    /** Returns up to [count] workers with the most free processors. */
    fun largest(count: Int): List<WorkerState> {
        val slots = IntArray(count)
        val found = byProcessors.collectLargest(slots)
        return (0 until found).map { workerAt(slots[it]) }
    }

    private companion object {
        /** More candidates improve packing little and cost time in every decision; see docs/measurements.md. */
        const val MAX_CANDIDATES = 16
    }
}
