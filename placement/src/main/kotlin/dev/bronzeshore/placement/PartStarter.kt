/** Starts parts and collects the placements of one round. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Placement

/** One part and its worker; null means the best worker at the time of the start. */
internal class Assignment(val part: Int, val worker: WorkerState?)

internal class PartStarter(private val workers: WorkerRegistry, private val registry: JobRegistry) {
    val placements: ArrayList<Placement> = ArrayList()
    private var limit: Int = 0

    val isFull: Boolean
        get() = placements.size >= limit

    /** Begins a round of at most [limit] placements. */
    fun beginRound(limit: Int) {
        this.limit = limit
        placements.clear()
    }

    /** A gang larger than the limit may start alone in a round; otherwise it could never start. */
    fun fitsInRound(parts: Int): Boolean = placements.isEmpty() || placements.size + parts <= limit

    fun bestWorker(job: JobEntry): WorkerState? {
        val size = job.item.size
        if (!job.isSpread) return workers.bestFit(size) { FitScore.bestFit(it, size) }
        return workers.bestFit(size) { FitScore.rackSpread(it, size, job.partsByRack[it.rack] ?: 0) }
    }

    /** Starts the assigned parts; the caller has checked that those without a worker fit. */
    fun start(job: JobEntry, assignments: List<Assignment>) {
        registry.dequeue(job)
        job.started = true
        for (assignment in assignments) {
            val worker = assignment.worker ?: bestWorker(job)
            checkNotNull(worker) { "no worker has free capacity for part ${assignment.part} of ${job.item.jobId}" }
            job.pending.remove(assignment.part)
            registry.start(job, assignment.part, worker)
            check(worker.allocated.fitsIn(worker.capacity)) {
                "worker ${worker.workerId} is allocated beyond its capacity"
            }
            placements.add(Placement(job.item.jobId, assignment.part, worker.workerId))
        }
        val plan = job.kindQueue.plan
        check(plan.limit?.let { plan.used.fitsIn(it) } == true) { "usage of plan ${plan.name} exceeds its limit" }
        registry.enqueue(job)
    }
}
