package dev.bronzeshore.requests

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SlotAllocatorTest {
    private var nowMs = 1_000_000L
    private var actUntilMs = Long.MAX_VALUE
    private val allocator = SlotAllocator("dc1", { nowMs }, { actUntilMs })
    private val confirmed = HashMap<String, Long>()

    private fun endpoints(count: Int, slots: Int = 8) =
        (1..count).map { EndpointSlots("e$it", "127.0.0.1:$it", "stock", slots) }

    private fun allow(plan: String, slots: Int, weight: Int = 1) = Allowance(plan, "dc1", Resources.NONE, slots, weight)

    private fun requestSlots(process: String, wanted: Int, plan: String = "utility"): List<SlotAllotment> {
        nowMs++
        val demand = listOf(SlotDemand("stock", plan, wanted, 0))
        val request = AllotmentRequest("dc1", process, demand, emptyList(), nowMs, confirmed[process] ?: 0)
        val response = allocator.allocate(request)
        confirmed[process] = response.grantId
        return response.list
    }

    private fun List<SlotAllotment>.slots() = sumOf { it.slots }

    @Test
    fun `guards against grants over the endpoint's slots or the plan's allowance`() {
        allocator.setEndpoints(endpoints(2))
        allocator.setAllowances(listOf(allow("utility", 10), allow("solvgaard", 100)))
        val total = requestSlots("p1", 50).slots() + requestSlots("p2", 50).slots()
        assertTrue(total <= 10, "granted $total of 10 allowed slots")
        requestSlots("p3", 50, "solvgaard")
        for (id in listOf("e1", "e2")) assertTrue(allocator.committedAt(id) <= 8)
    }

    @Test
    fun `guards against slots that stay with an idle process`() {
        allocator.setEndpoints(endpoints(4))
        allocator.setAllowances(listOf(allow("utility", 32)))
        assertTrue(requestSlots("p1", 32).slots() >= 28)
        requestSlots("p2", 0)
        // The first response removes the slots, the second request confirms this.
        repeat(2) { requestSlots("p1", 0) }
        assertTrue(requestSlots("p2", 30).slots() >= 16)
        repeat(2) { requestSlots("p1", 0) }
        val moved = requestSlots("p2", 30).slots()
        assertTrue(moved >= 28, "moved $moved of 32 slots")
    }

    @Test
    fun `guards against a first request that waits because another process holds all slots`() {
        allocator.setEndpoints(endpoints(4))
        allocator.setAllowances(listOf(allow("utility", 32), allow("solvgaard", 32)))
        repeat(3) {
            requestSlots("p1", 500)
            requestSlots("p2", 0)
            requestSlots("p3", 0, "solvgaard")
        }
        assertTrue(requestSlots("p2", 0).slots() >= 1)
        assertTrue(requestSlots("p3", 0, "solvgaard").slots() >= 1)
    }

    @Test
    fun `guards against slots of a failed process that are granted before its deadline plus the clock skew`() {
        allocator.setEndpoints(endpoints(1))
        allocator.setAllowances(listOf(allow("utility", 8)))
        val grantedAtMs = nowMs + 1
        val held = requestSlots("p1", 8).slots()
        assertEquals(8, held)
        nowMs = grantedAtMs + GRANT_DURATION_MS + MAX_CLOCK_SKEW_MS - 2
        assertEquals(0, requestSlots("p2", 8).slots())
        assertEquals(8, requestSlots("p2", 8).slots())
    }

    @Test
    fun `guards against grants beyond the owner's own deadline`() {
        allocator.setEndpoints(endpoints(1))
        allocator.setAllowances(listOf(allow("utility", 8)))
        actUntilMs = nowMs + 500
        assertTrue(requestSlots("p1", 8).all { it.untilMs <= actUntilMs })
        nowMs = actUntilMs
        assertEquals(0, requestSlots("p1", 8).slots())
    }

    @Test
    fun `guards against new grants on a leaving endpoint`() {
        allocator.setEndpoints(endpoints(2))
        allocator.setAllowances(listOf(allow("utility", 16)))
        requestSlots("p1", 16)
        allocator.setEndpoints(endpoints(2).map { it.copy(leaving = it.id == "e2") })
        assertEquals(setOf("e1"), requestSlots("p1", 16).map { it.endpointId }.toSet())
    }

    @Test
    fun `guards against a plan that takes another plan's share under contention`() {
        allocator.setEndpoints(endpoints(5))
        allocator.setAllowances(listOf(allow("utility", 40, weight = 3), allow("solvgaard", 40, weight = 1)))
        repeat(4) {
            requestSlots("p1", 400)
            requestSlots("p2", 400, "solvgaard")
        }
        assertEquals(30, requestSlots("p1", 400).slots())
        assertEquals(10, requestSlots("p2", 400, "solvgaard").slots())
    }
}
