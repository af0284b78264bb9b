/** All pending work: which queues may be tried, and which wait for free capacity or for their plan's limit. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Moves queues of equal jobs between ready and blocked, so that a round touches only what may have changed. */
internal class WorkQueue(private val sizeClassOf: (Resources) -> Int) {
    /** Kinds with at least one ready queue. */
    val readyKinds: LinkedHashSet<KindQueue> = LinkedHashSet()

    /** Kinds with at least one queue that waits for free capacity or for the limit of its plan. */
    val blockedKinds: LinkedHashSet<KindQueue> = LinkedHashSet()

    /** Plans whose usage or reservations went down since their blocked queues were last tried. */
    val freedPlans: LinkedHashSet<PlanState> = LinkedHashSet()

    fun add(job: JobEntry) {
        if (job.pending.isEmpty()) return
        val gangParts = if (job.isGang) job.pending.size else 0
        val shape = Shape(job.item.urgency, job.item.size, gangParts)
        val queue = job.kindQueue.shapes.getOrPut(shape) { ShapeQueue(job.kindQueue, shape, sizeClassOf(shape.size)) }
        // The order of a queue depends on its first job, so it leaves the sorted sets while that may change.
        val state = queue.state
        unlink(queue)
        queue.jobs.add(job)
        queue.shortestRunMs = minOf(queue.shortestRunMs, job.item.declaredRunMs)
        job.shapeQueue = queue
        link(queue, if (state == QueueState.EMPTY) QueueState.READY else state)
    }

    fun remove(job: JobEntry) {
        val queue = job.shapeQueue ?: return
        val state = queue.state
        unlink(queue)
        queue.jobs.remove(job)
        job.shapeQueue = null
        if (queue.jobs.isEmpty()) queue.kindQueue.shapes.remove(queue.shape) else link(queue, state)
    }

    fun block(queue: ShapeQueue, state: QueueState) {
        unlink(queue)
        link(queue, state)
    }

    /** Makes the next round retry the queues that wait for the limit of [plan]. */
    fun retryAtLimit(plan: PlanState) {
        freedPlans.add(plan)
    }

    fun makeReady(queue: ShapeQueue) {
        unlink(queue)
        link(queue, QueueState.READY)
    }

    private fun link(queue: ShapeQueue, state: QueueState) {
        val kind = queue.kindQueue
        queue.state = state
        when (state) {
            QueueState.READY -> {
                kind.ready.add(queue)
                readyKinds.add(kind)
            }
            QueueState.WAITS_FOR_LIMIT, QueueState.WAITS_FOR_ROOM -> {
                kind.blocked.add(queue)
                blockedKinds.add(kind)
            }
            QueueState.EMPTY -> Unit
        }
    }

    private fun unlink(queue: ShapeQueue) {
        when (queue.state) {
            QueueState.READY -> {
                queue.kindQueue.ready.remove(queue)
                if (queue.kindQueue.ready.isEmpty()) readyKinds.remove(queue.kindQueue)
            }
            QueueState.WAITS_FOR_LIMIT, QueueState.WAITS_FOR_ROOM -> {
                queue.kindQueue.blocked.remove(queue)
                if (queue.kindQueue.blocked.isEmpty) blockedKinds.remove(queue.kindQueue)
            }
            QueueState.EMPTY -> Unit
        }
        queue.state = QueueState.EMPTY
    }
}
