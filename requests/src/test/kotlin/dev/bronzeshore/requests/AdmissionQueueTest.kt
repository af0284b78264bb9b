package dev.bronzeshore.requests

import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WorkKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class AdmissionQueueTest {
    private var nowMs = 1_000L
    private val pool = SlotPool({ nowMs }, LatencyTracker { nowMs }, Random(1))
    private val queue = AdmissionQueue({ nowMs }, pool, AdmissionLimits(maxWaitingPerKind = 10, maxWaitingPerPlan = 15))
    private val started = ArrayList<Pair<QueuedRequest, SlotLease>>()
    private val refused = ArrayList<ResultCode>()

    private fun configure(vararg weights: Int, policy: Policy = Policy.BATCH) {
        val kinds = weights.mapIndexed { index, weight -> WorkKind("k$index", policy, weight, "stock") }
        queue.configure(listOf(Plan("utility", "", kinds)))
    }

    private fun grant(slots: Int, untilMs: Long = Long.MAX_VALUE / 2) {
        val list = listOf(SlotAllotment("e1", "a:1", "stock", "utility", slots, untilMs))
        pool.apply("dc1", Allotments(list, nowMs++))
        queue.slotsChanged()
    }

    private fun queued(kind: String, startBeforeMs: Long): QueuedRequest {
        lateinit var request: QueuedRequest
        request = QueuedRequest("utility", kind, "stock", startBeforeMs) {
            when (it) {
                is AdmissionDecision.Start -> started += request to it.lease
                is AdmissionDecision.Refused -> refused += it.fault.code
            }
        }
        return request
    }

    private fun enqueue(kind: String = "k0", startBeforeMs: Long = 1_000_000) =
        queue.enqueue(queued(kind, startBeforeMs))

    private fun finishOldest() {
        val (request, lease) = started.removeFirst()
        queue.release(request, lease)
    }

    @Test
    fun `guards against requests that start before others with an earlier deadline`() {
        configure(1)
        listOf(900L, 500, 700, 500, 600).forEach { enqueue(startBeforeMs = 10_000 + it) }
        grant(5)
        assertEquals(listOf(500L, 500, 600, 700, 900), started.map { it.first.startBeforeMs - 10_000 })
    }

    @Test
    fun `guards against a request that is sent after its latest start`() {
        configure(1)
        enqueue(startBeforeMs = nowMs + 10)
        enqueue(startBeforeMs = nowMs + 100)
        nowMs += 11
        grant(2)
        assertEquals(listOf(ResultCode.DEADLINE_PASSED), refused)
        assertEquals(1, started.size)
        enqueue(startBeforeMs = nowMs + 1)
        enqueue(startBeforeMs = nowMs + 1)
        nowMs += 2
        queue.tick()
        assertEquals(2, refused.size)
        assertEquals(ResultCode.DEADLINE_PASSED, enqueue(startBeforeMs = nowMs - 1)?.code)
    }

    @Test
    fun `guards against unbounded queues and against refusals without a time to retry`() {
        configure(1, 1, 2)
        repeat(10) { assertNull(enqueue("k0")) }
        val full = enqueue("k0")
        assertEquals(ResultCode.QUEUE_FULL, full?.code)
        assertTrue((full?.retryAtMs ?: 0) > nowMs)
        repeat(5) { assertNull(enqueue("k1")) }
        assertEquals(ResultCode.SHARE_EXHAUSTED, enqueue("k1")?.code)
        // A kind below its share of the plan's limit is not affected by the other kinds.
        repeat(7) { assertNull(enqueue("k2")) }
        assertEquals(ResultCode.SHARE_EXHAUSTED, enqueue("k2")?.code)
        assertEquals(ResultCode.UNKNOWN_KIND, enqueue("k9")?.code)
    }

    @Test
    fun `guards against shares that do not follow the weights`() {
        configure(3, 1)
        grant(8)
        val starts = IntArray(2)
        repeat(400) {
            while (enqueue("k0") == null) Unit
            while (enqueue("k1") == null) Unit
            nowMs++
            starts[started.last().first.kind.last().digitToInt()]++
            finishOldest()
        }
        assertTrue(starts[1] in 90..110, "starts by kind: ${starts.toList()}")
    }

    @Test
    fun `guards against a lent share that is not returned with the next free slot`() {
        configure(1, 1)
        grant(4)
        repeat(10) { enqueue("k0") }
        assertEquals(4, started.size)
        enqueue("k1")
        finishOldest()
        assertEquals("k1", started.last().first.kind)
    }

    @Test
    fun `guards against starvation of a kind whose share is less than one slot`() {
        configure(9, 1)
        grant(1)
        var lightStarts = 0
        repeat(200) {
            while (enqueue("k0") == null) Unit
            if (queue.waiting("stock", "utility") < 11) enqueue("k1")
            nowMs += 10
            finishOldest()
            if (started.last().first.kind == "k1") lightStarts++
        }
        assertTrue(lightStarts in 10..40, "the light kind got $lightStarts of 200 starts")
    }

    @Test
    fun `guards against slots that are used after their deadline or beyond the grant`() {
        configure(1)
        grant(2, untilMs = nowMs + 100)
        repeat(3) { enqueue() }
        assertEquals(2, started.size)
        grant(1, untilMs = nowMs + 100)
        finishOldest()
        assertEquals(1, started.size)
        nowMs += 100
        finishOldest()
        assertEquals(0, started.size)
    }

    @Test
    fun `guards against decisions for cancelled requests`() {
        configure(1)
        val requests = (1..9).map { queued("k0", 10_000L + it) }
        requests.forEach { assertNull(queue.enqueue(it)) }
        requests.drop(1).forEach { assertTrue(queue.cancel(it)) }
        assertFalse(queue.cancel(requests[1]))
        assertEquals(1, queue.waiting("stock", "utility"))
        grant(9)
        assertEquals(requests.take(1), started.map { it.first })
    }
}
