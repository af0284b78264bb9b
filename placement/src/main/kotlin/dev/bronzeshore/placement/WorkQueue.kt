/** All pending work: which queues may be tried, and which wait for room or for their plan's limit. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Moves queues of equal jobs between ready and blocked, so that a round touches only what may have changed. */
internal class WorkQueue(private val sizeClassOf: (Resources) -> Int) {
    /** Kinds with at least one ready queue. */
    val readyKinds: LinkedHashSet<KindQueue> = LinkedHashSet()

    /** Kinds with at least one queue that waits for room or for the limit of its plan. */
    val waitingKinds: LinkedHashSet<KindQueue> = LinkedHashSet()

    private val blocked: ArrayList<ShapeQueue> = ArrayList()

    fun add(job: JobEntry) {
        if (job.pending.isEmpty()) return
        val gangParts = if (job.isGang) job.pending.size else 0
        val shape = Shape(job.item.urgency, job.item.size, gangParts)
        val queue = job.kindQueue.shapes.getOrPut(shape) { ShapeQueue(job.kindQueue, shape, sizeClassOf(shape.size)) }
        // The order of a queue follows its first job, so it is taken out of the sorted sets while that may change.
        val state = queue.state
        unlink(queue)
        queue.jobs.add(job)
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

    /** Makes ready what waits for room and may fit into [free], or by backfill into [behindHolds], on one worker. */
    fun roomFreed(free: Resources, behindHolds: Resources?) {
        var at = blocked.size - 1
        while (at >= 0) {
            val queue = blocked[at]
            val size = queue.shape.size
            if (size.fitsIn(free) || (behindHolds != null && size.fitsIn(behindHolds))) makeReady(queue)
            at--
        }
    }

    /** Makes ready what waits for the limit of [plan] and may fit under it now. */
    fun limitFreed(plan: PlanAccount) {
        if (plan.limited.isEmpty()) return
        val headroom = plan.headroom()
        plan.limited.filter { it.wanted.fitsIn(headroom) }.forEach { makeReady(it) }
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
            QueueState.WAITS_FOR_LIMIT -> {
                kind.plan.limited.add(queue)
                linkWaiting(queue)
            }
            QueueState.WAITS_FOR_ROOM -> {
                queue.blockedAt = blocked.size
                blocked.add(queue)
                linkWaiting(queue)
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
            QueueState.WAITS_FOR_LIMIT -> {
                queue.kindQueue.plan.limited.remove(queue)
                unlinkWaiting(queue)
            }
            QueueState.WAITS_FOR_ROOM -> unlinkBlocked(queue)
            QueueState.EMPTY -> Unit
        }
        queue.state = QueueState.EMPTY
    }

    private fun unlinkBlocked(queue: ShapeQueue) {
        val last = blocked.removeLast()
        if (last !== queue) {
            blocked[queue.blockedAt] = last
            last.blockedAt = queue.blockedAt
        }
        queue.blockedAt = -1
        unlinkWaiting(queue)
    }

    private fun linkWaiting(queue: ShapeQueue) {
        queue.kindQueue.waiting.add(queue)
        waitingKinds.add(queue.kindQueue)
    }

    private fun unlinkWaiting(queue: ShapeQueue) {
        queue.kindQueue.waiting.remove(queue)
        if (queue.kindQueue.waiting.isEmpty()) waitingKinds.remove(queue.kindQueue)
    }
}
