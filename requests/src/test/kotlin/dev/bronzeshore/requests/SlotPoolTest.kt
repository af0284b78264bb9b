package dev.bronzeshore.requests

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class SlotPoolTest {
    private var nowMs = 1_000L
    private val latency = LatencyTracker { nowMs }
    private val pool = SlotPool({ nowMs }, latency, Random(7))

    private fun apply(grantId: Long, endpoints: Int, slots: Int): Boolean {
        val list = (1..endpoints).map { SlotAllotment("e$it", "a:$it", "stock", "utility", slots, 100_000) }
        return pool.apply("dc1", Allotments(list, grantId))
    }

    private fun take() = pool.take("stock", "utility")?.also { pool.release(it) }?.endpointId

    @Test
    fun `guards against a delayed response that replaces a newer one`() {
        assertFalse(apply(2, endpoints = 1, slots = 1))
        assertFalse(apply(1, endpoints = 5, slots = 8))
        assertEquals(1, pool.granted("stock", "utility"))
        assertEquals(2, pool.allotmentRequest("dc1", "p1", emptyList()).appliedGrantId)
        assertTrue(apply(3, endpoints = 0, slots = 0), "a reduced grant must be confirmed at once")
    }

    @Test
    fun `guards against requests started under an earlier grant that are not counted`() {
        apply(1, endpoints = 1, slots = 4)
        val leases = (1..4).mapNotNull { pool.take("stock", "utility") }
        apply(2, endpoints = 0, slots = 0)
        apply(3, endpoints = 1, slots = 3)
        pool.release(leases[0])
        pool.release(leases[0])
        assertNull(pool.take("stock", "utility"))
        assertEquals(listOf(SlotsInUse("e1", "utility", 3)), pool.allotmentRequest("dc1", "p1", emptyList()).inUse)
        pool.release(leases[1])
        assertEquals("e1", take())
    }

    @Test
    fun `guards against a slow or unreachable endpoint that is chosen while others are free`() {
        apply(1, endpoints = 3, slots = 8)
        repeat(20) { latency.recordResponse("e1", 50) }
        repeat(20) { latency.recordResponse("e2", 5) }
        latency.recordFailure("e3")
        assertEquals("e2", take())
        // Ten requests at 5 ms each are expected to take as long as one at 50 ms.
        val chosen = (1..14).mapNotNull { pool.take("stock", "utility")?.endpointId }
        assertEquals(8, chosen.count { it == "e2" })
        nowMs += 60_000
        assertTrue(latency.expectedMs("e1") < 40, "an old estimate must decay to the mean")
    }

    @Test
    fun `guards against processes that all choose the same of many endpoints`() {
        apply(1, endpoints = 30, slots = 8)
        val chosen = (1..300).mapNotNull { take() }.toSet()
        assertTrue(chosen.size > 25, "only ${chosen.size} of 30 endpoints were chosen")
    }
}
