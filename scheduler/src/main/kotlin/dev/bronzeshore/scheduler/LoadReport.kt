/** Logs once a second how full the workers are and what waits, so that an operator can tell why work is late. */
package dev.bronzeshore.scheduler

private const val PERIOD_MS = 1_000L
private const val PERCENT = 100

internal class LoadReport(private val context: TermContext, private val onMemoryUse: (MemoryUse) -> Unit) {
    private var reportedAtMs = context.clock()

    /** Logs a line if the last one is old enough. */
    fun reportIfDue() {
        val now = context.clock()
        if (now - reportedAtMs < PERIOD_MS) return
        reportedAtMs = now
        val accepting = context.workerPool.workers.filter { it.accepts(now) }
        val capacity = accepting.sumOf { it.entry.capacity.processorsMillicores }
        val free = accepting.sumOf { it.free.processorsMillicores }
        val steps = context.jobRegistry.openJobs.flatMap { it.openSteps }
        val waiting = steps.filter { it.hasPendingTasks && it.isUnblocked }
        val byLateness = waiting.groupingBy { rank(it, now, startDelayMs = 0).lateness }.eachCount()
        val memoryUse = context.jobRegistry.memoryUse
        onMemoryUse(memoryUse)
        context.log.event(
            "load",
            "workers" to context.workerPool.workers.size,
            "accepting" to accepting.size,
            "used_percent" to if (capacity == 0L) null else (capacity - free) * PERCENT / capacity,
            "reserved_workers" to accepting.count { it.isReserved },
            "open_jobs" to context.jobRegistry.openJobs.size,
            "waiting_in_time" to (byLateness[Lateness.IN_TIME] ?: 0),
            "waiting_late" to (byLateness[Lateness.LATE] ?: 0),
            "waiting_worthless" to (byLateness[Lateness.WORTHLESS] ?: 0),
            "gang_waits" to context.gangWaits,
            "jobs" to context.jobRegistry.allJobs.size,
            "tracked_tasks" to memoryUse.trackedTasks,
            "held_bytes" to memoryUse.heldBytes,
        )
    }
}
