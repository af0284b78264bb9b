/** Applies usage reports: adjusts allocations and preempts the least urgent work of overloaded workers. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

internal class UsageTracker(private val workers: WorkerRegistry, private val preemptions: PreemptionPlanner) {
    fun report(running: RunningPart, used: Resources) {
        val worker = running.worker
        worker.reportedUsage += used - running.lastUsage
        running.lastUsage = used
        running.peakUsage = UsageEstimator.peakOf(running.peakUsage, used)
        running.reportCount++
        val allocation = UsageEstimator.allocationFor(running)
        if (allocation != running.allocation) workers.updateAllocation(running, allocation)
        preemptIfOverloaded(worker)
    }

    /** Preempts the least urgent parts of an over-allocated worker whose reported usage is near its capacity. */
    private fun preemptIfOverloaded(worker: WorkerState) {
        if (worker.capacity == Resources.NONE || worker.allocated.fitsIn(worker.capacity)) return
        if (isBelowThreshold(worker.reportedUsage, worker.capacity)) return
        val excess = Resources(
            maxOf(0, worker.allocated.processorsMillicores - worker.capacity.processorsMillicores),
            maxOf(0, worker.allocated.memoryBytes - worker.capacity.memoryBytes),
        )
        preemptions.chooseVictims(worker, excess, worker.stopping) { !it.job.isImportant }
            ?.let { preemptions.preempt(it) }
    }

    private fun isBelowThreshold(usage: Resources, capacity: Resources): Boolean =
        usage.processorsMillicores <= capacity.processorsMillicores / PERCENT * OVERLOAD_PERCENT &&
            usage.memoryBytes <= capacity.memoryBytes / PERCENT * OVERLOAD_PERCENT

    private companion object {
        const val PERCENT = 100

        /** Reports lag by a few seconds; the rest is headroom for growth in the meantime. */
        const val OVERLOAD_PERCENT = 95
    }
}
