/** Blocked queues of one kind, in priority order. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import java.util.TreeSet

internal class BlockedQueues {
    private val inOrder: TreeSet<ShapeQueue> = TreeSet()

    /** Lower bounds of what the queues ask for; may be too low after removals. */
    private var leastMillicores: Long = Long.MAX_VALUE
    private var leastBytes: Long = Long.MAX_VALUE

    val isEmpty: Boolean
        get() = inOrder.isEmpty()

    fun add(queue: ShapeQueue) {
        inOrder.add(queue)
        leastMillicores = minOf(leastMillicores, queue.shape.size.processorsMillicores)
        leastBytes = minOf(leastBytes, queue.shape.size.memoryBytes)
    }

    fun remove(queue: ShapeQueue) {
        inOrder.remove(queue)
    }

    fun first(): ShapeQueue = inOrder.first()

    fun asSequence(): Sequence<ShapeQueue> = inOrder.asSequence()

    /** Returns the first queue in [state] whose parts fit into [available] and that [accepts] approves, or null. */
    fun firstFitting(available: Resources, state: QueueState, accepts: (ShapeQueue) -> Boolean): ShapeQueue? {
        if (leastMillicores > available.processorsMillicores || leastBytes > available.memoryBytes) return null
        var millicores = Long.MAX_VALUE
        var bytes = Long.MAX_VALUE
        for (queue in inOrder) {
            val size = queue.shape.size
            if (queue.state == state && size.fitsIn(available) && accepts(queue)) return queue
            millicores = minOf(millicores, size.processorsMillicores)
            bytes = minOf(bytes, size.memoryBytes)
        }
        leastMillicores = millicores
        leastBytes = bytes
        return null
    }
}
