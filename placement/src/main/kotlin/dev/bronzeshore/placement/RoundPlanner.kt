/** Tries the queues of one round in order and places what fits. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Placement

internal class RoundPlanner(
    private val workers: WorkerTable,
    private val queue: WorkQueue,
    private val book: JobBook,
) {
    fun placeUpTo(limit: Int): List<Placement> {
        val placements = ArrayList<Placement>()
        for (room in workers.freed) queue.roomFreed(room.free)
        workers.freed.clear()
        while (placements.size < limit) {
            val next = nextQueue() ?: break
            // A gang larger than the whole limit starts alone in a round; it could never start otherwise.
            if (placements.isNotEmpty() && placements.size + next.shape.gangParts > limit) break
            tryPlace(next, placements)
        }
        return placements
    }

    private fun nextQueue(): ShapeQueue? = queue.readyKinds.minOfWithOrNull(compareBy { it }) { it.ready.first() }

    private fun tryPlace(next: ShapeQueue, placements: MutableList<Placement>) {
        val job = next.jobs.first()
        if (!next.kindQueue.plan.mayAdd(next.wanted)) {
            queue.block(next, QueueState.WAITS_FOR_LIMIT)
            return
        }
        val parts = if (job.isGang) job.pending.toList() else listOf(job.pending.first())
        val started = startAll(job, parts)
        if (started == null) {
            queue.block(next, QueueState.WAITS_FOR_ROOM)
            return
        }
        book.dequeue(job)
        job.started = true
        job.pending.removeAll(parts.toSet())
        started.mapTo(placements) { Placement(job.item.jobId, it.part, it.worker.workerId) }
        book.enqueue(job)
    }

    /** Takes room for all [parts], or for none of them and returns null. */
    private fun startAll(job: JobEntry, parts: List<Int>): List<RunningPart>? {
        val started = ArrayList<RunningPart>(parts.size)
        for (part in parts) {
            val room = workers.bestFit(job.item.size)
            if (room == null) {
                started.forEach { book.release(it) }
                return null
            }
            started.add(book.start(job, part, room))
        }
        return started
    }
}
