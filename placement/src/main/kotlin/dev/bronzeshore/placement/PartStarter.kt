/** Starts parts and collects the placements of one round. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Placement

/** One part and its worker, or null for the best one at the time of the start. */
internal class Assignment(val part: Int, val room: WorkerRoom?)

internal class PartStarter(private val workers: WorkerTable, private val book: JobBook) {
    val placements: ArrayList<Placement> = ArrayList()
    private var limit: Int = 0

    val isFull: Boolean
        get() = placements.size >= limit

    /** Begins a round of at most [limit] placements. */
    fun begin(limit: Int) {
        this.limit = limit
        placements.clear()
    }

    /** A gang larger than the whole limit may start alone in a round; it could never start otherwise. */
    fun hasSpaceFor(parts: Int): Boolean = placements.isEmpty() || placements.size + parts <= limit

    fun bestRoom(job: JobEntry): WorkerRoom? {
        val size = job.item.size
        if (!job.isSpread) return workers.bestFit(size) { FitScore.tight(it, size) }
        return workers.bestFit(size) { FitScore.spread(it, size, job.partsByRack[it.rack] ?: 0) }
    }

    /** Starts the assigned parts; the caller has made sure that there is room for those without a worker. */
    fun start(job: JobEntry, assignments: List<Assignment>) {
        book.dequeue(job)
        job.started = true
        for (assignment in assignments) {
            val room = assignment.room ?: bestRoom(job)
            checkNotNull(room) { "no room for part ${assignment.part} of ${job.item.jobId}" }
            job.pending.remove(assignment.part)
            book.start(job, assignment.part, room)
            check(room.charged.fitsIn(room.capacity)) { "worker ${room.workerId} is over its capacity" }
            placements.add(Placement(job.item.jobId, assignment.part, room.workerId))
        }
        val plan = job.kindQueue.plan
        check(plan.limit?.let { plan.used.fitsIn(it) } == true) { "plan ${plan.name} is over its limit" }
        book.enqueue(job)
    }
}
