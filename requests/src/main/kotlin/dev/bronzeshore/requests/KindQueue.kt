/** Queue of one kind of requests. */
package dev.bronzeshore.requests

import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WorkKind
import java.util.PriorityQueue

/** Waiting requests of one kind, ordered by deadline, and the number of slots that the kind has in use. */
internal class KindQueue(val plan: String, val service: String, var kind: WorkKind) {
    private val heap = PriorityQueue(BY_DEADLINE)
    private val starts = DecayedRate(RATE_WINDOW_MS)

    /** Recent mean of [inUse], by which kinds that have reached their entitlement are compared. */
    val usage: DecayedLevel = DecayedLevel(USAGE_WINDOW_MS)
    var waiting: Int = 0
        private set
    var inUse: Int = 0
        private set

    /** The fault for requests that arrive while the queue is full, else null; the only field read by other threads. */
    @Volatile
    var queueFullFault: Fault? = null
        private set
    private var lastOverflowAtMs = Long.MIN_VALUE / 2
    val weight: Int get() = maxOf(1, kind.weight)

    fun add(request: QueuedRequest) {
        heap.add(request)
        waiting++
    }

    /** The waiting request with the earliest deadline, or null if none waits. */
    fun head(): QueuedRequest? {
        while (heap.isNotEmpty() && heap.peek().state != QueuedState.WAITING) heap.poll()
        return heap.peek()
    }

    fun pollHead(): QueuedRequest? {
        val request = head() ?: return null
        heap.poll()
        waiting--
        return request
    }

    /** Records that a waiting request was cancelled. Its entry is removed later in bulk, in amortized constant time. */
    fun recordCancellation() {
        waiting--
        if (heap.size > 2 * waiting + MIN_CANCELLED_ENTRIES) heap.removeIf { it.state != QueuedState.WAITING }
    }

    /** Records that a request was refused or expired in the queue. */
    fun recordOverflow(nowMs: Long) {
        lastOverflowAtMs = nowMs
    }

    fun isOverflowing(nowMs: Long): Boolean = queueFullFault != null || nowMs - lastOverflowAtMs < OVERFLOW_MS

    /** Sets or clears [queueFullFault]; to be called after [waiting] changed. */
    fun updateQueueFullFault(limit: Int, nowMs: Long) {
        val isFull = waiting >= limit
        if (!isFull && queueFullFault == null) return
        if (isFull) recordOverflow(nowMs)
        queueFullFault = if (isFull) ResultCode.QUEUE_FULL.toFault(retryAtMs = expectedDrainAtMs(nowMs)) else null
    }

    fun recordStart(nowMs: Long) {
        starts.record(nowMs)
        inUse++
        usage.set(nowMs, inUse)
    }

    fun recordEnd(nowMs: Long) {
        inUse--
        usage.set(nowMs, inUse)
    }

    /** Time at which all requests that wait now are expected to have started, from the recent rate of starts. */
    fun expectedDrainAtMs(nowMs: Long): Long {
        val waitMs = waiting / maxOf(starts.perMs(nowMs), MIN_RATE_PER_MS)
        return nowMs + waitMs.toLong().coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    private companion object {
        const val RATE_WINDOW_MS = 2_000.0
        const val USAGE_WINDOW_MS = 1_000.0
        const val OVERFLOW_MS = 1_000L
        const val MIN_CANCELLED_ENTRIES = 64
        const val MIN_RATE_PER_MS = 1e-3
        const val MIN_RETRY_MS = 100L
        const val MAX_RETRY_MS = 30_000L

        val BY_DEADLINE =
            Comparator<QueuedRequest> { a, b ->
                val byDeadline = a.startBeforeMs.compareTo(b.startBeforeMs)
                if (byDeadline != 0) byDeadline else a.sequence.compareTo(b.sequence)
            }
    }
}
