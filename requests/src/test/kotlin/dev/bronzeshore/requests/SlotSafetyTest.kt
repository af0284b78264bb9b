package dev.bronzeshore.requests

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.Resources
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against more slots in use than an endpoint has or a plan is allowed, while processes fail, responses are lost
 * or delayed, clocks differ, the owner changes, endpoints leave and allowances change.
 */
class SlotSafetyTest {
    private class Process(val id: String, val skewMs: Long, clock: () -> Long, random: Random) {
        val pool = SlotPool({ clock() + skewMs }, LatencyTracker(clock), random)
        val leases = ArrayList<Pair<SlotLease, String>>()
        var heldUntilMs = 0L
        var isDisconnected = false
        val pending = ArrayDeque<AllotmentRequest>()
        val responses = ArrayDeque<Allotments>()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `slots in use never exceed endpoint slots or allowances`(seed: Long) = Simulation(Random(seed)).run()

    private class Simulation(private val random: Random) {
        private var nowMs = 1_000_000L
        private var actUntilMs = 0L
        private var createdProcesses = 0
        private val plans = listOf("utility", "solvgaard")
        private var endpoints = (1..5).map { EndpointSlots("e$it", "a:$it", "stock", 4) }
        private var allowances = plans.map { Allowance(it, "dc1", Resources.NONE, 12) }
        private var allocator = newAllocator()
        private val processes = ArrayList<Process>()
        private var takenSlots = 0

        private fun newAllocator() = SlotAllocator("dc1", { nowMs }, { actUntilMs }).also {
            it.setEndpoints(endpoints)
            it.setAllowances(allowances)
        }

        private fun newProcess() {
            // Up to half of the maximum skew from the owner's clock, so any two clocks differ by at most the maximum.
            val skewMs = random.nextLong(-MAX_CLOCK_SKEW_MS / 2, MAX_CLOCK_SKEW_MS / 2 + 1)
            processes += Process("p${createdProcesses++}", skewMs, { nowMs }, random)
        }

        fun run() {
            repeat(4) { newProcess() }
            repeat(100_000) {
                nowMs += random.nextLong(0, 5)
                step(processes.random(random))
                if (random.nextInt(5) == 0) check()
            }
            assertTrue(takenSlots > 1_000, "only $takenSlots slots were leased")
        }

        private fun step(process: Process) {
            if (nowMs >= actUntilMs - 1_500) actUntilMs = nowMs + 2_750
            releaseExpired(process)
            when (random.nextInt(1_000)) {
                in 0..99 -> requestSlots(process)
                in 100..249 -> deliver(process)
                in 250..849 -> take(process)
                in 850..989 -> release(process)
                in 990..991 -> replaceProcess(process)
                992 -> changeEndpoints()
                994 -> process.isDisconnected = !process.isDisconnected
                993 -> changeOwner()
                else -> Unit
            }
        }

        /**
         * Ends all requests of a process whose grant has expired: the allocator cannot count requests that run longer
         * than that.
         */
        private fun releaseExpired(process: Process) {
            if (nowMs + process.skewMs < process.heldUntilMs) return
            while (process.leases.isNotEmpty()) release(process)
        }

        private fun requestSlots(process: Process) {
            if (process.isDisconnected) return
            val demand = plans.map { plan ->
                SlotDemand("stock", plan, random.nextInt(0, 20), process.leases.count { it.second == plan })
            }
            process.pending += process.pool.allotmentRequest("dc1", process.id, demand)
        }

        /** Delivers requests and responses late, out of order, twice or never. */
        private fun deliver(process: Process) {
            if (process.isDisconnected) return
            if (process.pending.isNotEmpty()) {
                val request = process.pending.random(random)
                if (random.nextInt(4) > 0) process.pending.remove(request)
                process.responses += allocator.allocate(request)
            }
            if (process.responses.isNotEmpty() && random.nextInt(3) > 0) {
                val response = process.responses.random(random)
                if (random.nextInt(4) > 0) process.responses.remove(response)
                process.pool.apply("dc1", response)
                process.heldUntilMs = maxOf(process.heldUntilMs, response.list.maxOfOrNull { it.untilMs } ?: 0)
            }
        }

        private fun take(process: Process) {
            val plan = plans.random(random)
            val lease = process.pool.take("stock", plan) ?: return
            process.leases += lease to plan
            takenSlots++
        }

        private fun release(process: Process) {
            if (process.leases.isEmpty()) return
            val index = random.nextInt(process.leases.size)
            process.pool.release(process.leases.removeAt(index).first)
        }

        private fun replaceProcess(process: Process) {
            processes.remove(process)
            newProcess()
        }

        private fun changeEndpoints() {
            endpoints = endpoints.map { it.copy(leaving = random.nextInt(4) == 0) }
            allocator.setEndpoints(endpoints)
        }

        /** A new owner creates its allocator after the previous owner's deadline; requests in flight have ended. */
        private fun changeOwner() {
            nowMs = actUntilMs + 2 * MAX_CLOCK_SKEW_MS
            processes.forEach { process -> while (process.leases.isNotEmpty()) release(process) }
            allocator = newAllocator()
        }

        private fun check() {
            val leases = processes.flatMap { it.leases }
            for (endpoint in endpoints) {
                val inUse = leases.count { it.first.endpointId == endpoint.id }
                assertTrue(inUse <= endpoint.slots, "$inUse in use at ${endpoint.id} at $nowMs")
            }
            for (allowance in allowances) {
                val inUse = leases.count { it.second == allowance.plan }
                assertTrue(inUse <= allowance.slots, "$inUse in use by ${allowance.plan} at $nowMs")
            }
        }
    }
}
