package dev.bronzeshore.requests

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.MAX_CLOCK_SKEW_MS
import dev.bronzeshore.core.Resources
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * Guards against slots in use beyond an endpoint's slots or a plan's allowance, while processes die, answers are lost
 * or late, clocks differ, the owner changes, endpoints leave and allowances change.
 */
class SlotSafetyTest {
    private class Process(val id: String, val skewMs: Long, clock: () -> Long, random: Random) {
        val pool = SlotPool({ clock() + skewMs }, LatencyTracker(clock), random)
        val leases = ArrayList<Pair<SlotLease, String>>()
        var heldUntilMs = 0L
        var muted = false
        val pending = ArrayDeque<AllotmentRequest>()
        val answers = ArrayDeque<Allotments>()
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `slots in use never exceed endpoint slots or allowances`(seed: Long) = World(Random(seed)).run()

    private class World(private val random: Random) {
        private var nowMs = 1_000_000L
        private var actUntilMs = 0L
        private var born = 0
        private val plans = listOf("utility", "solvgaard")
        private var endpoints = (1..5).map { EndpointSlots("e$it", "a:$it", "stock", 4) }
        private var allowances = plans.map { Allowance(it, "dc1", Resources.NONE, 12) }
        private var allocator = newLedger()
        private val processes = ArrayList<Process>()
        private var handedOut = 0

        private fun newLedger() = SlotAllocator("dc1", { nowMs }, { actUntilMs }).also {
            it.setEndpoints(endpoints)
            it.setAllowances(allowances)
        }

        private fun newProcess() {
            // Pools differ from the owner by up to half the drift, so any two clocks differ by at most the drift.
            val skewMs = random.nextLong(-MAX_CLOCK_SKEW_MS / 2, MAX_CLOCK_SKEW_MS / 2 + 1)
            processes += Process("p${born++}", skewMs, { nowMs }, random)
        }

        fun run() {
            repeat(4) { newProcess() }
            repeat(100_000) {
                nowMs += random.nextLong(0, 5)
                step(processes.random(random))
                if (random.nextInt(5) == 0) check()
            }
            assertTrue(handedOut > 1_000, "only $handedOut slots were handed out")
        }

        private fun step(process: Process) {
            if (nowMs >= actUntilMs - 1_500) actUntilMs = nowMs + 2_750
            endOutdated(process)
            when (random.nextInt(1_000)) {
                in 0..99 -> ask(process)
                in 100..249 -> deliver(process)
                in 250..849 -> take(process)
                in 850..989 -> release(process)
                in 990..991 -> replaceProcess(process)
                992 -> changeEndpoints()
                994 -> process.muted = !process.muted
                993 -> changeOwner()
                else -> Unit
            }
        }

        /** Requests end soon after the deadline of a process that lost contact; the ledger cannot know of others. */
        private fun endOutdated(process: Process) {
            if (nowMs + process.skewMs < process.heldUntilMs) return
            while (process.leases.isNotEmpty()) release(process)
        }

        private fun ask(process: Process) {
            if (process.muted) return
            val demand = plans.map { plan ->
                SlotDemand("stock", plan, random.nextInt(0, 20), process.leases.count { it.second == plan })
            }
            process.pending += process.pool.allotmentRequest("dc1", process.id, demand)
        }

        /** Delivers requests and answers late, out of order, twice or never. */
        private fun deliver(process: Process) {
            if (process.muted) return
            if (process.pending.isNotEmpty()) {
                val request = process.pending.random(random)
                if (random.nextInt(4) > 0) process.pending.remove(request)
                process.answers += allocator.allocate(request)
            }
            if (process.answers.isNotEmpty() && random.nextInt(3) > 0) {
                val answer = process.answers.random(random)
                if (random.nextInt(4) > 0) process.answers.remove(answer)
                process.pool.apply("dc1", answer)
                process.heldUntilMs = maxOf(process.heldUntilMs, answer.list.maxOfOrNull { it.untilMs } ?: 0)
            }
        }

        private fun take(process: Process) {
            val plan = plans.random(random)
            val lease = process.pool.take("stock", plan) ?: return
            process.leases += lease to plan
            handedOut++
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

        /** A takeover: the new ledger is created after the old owner's deadline; requests in flight have ended. */
        private fun changeOwner() {
            nowMs = actUntilMs + 2 * MAX_CLOCK_SKEW_MS
            processes.forEach { process -> while (process.leases.isNotEmpty()) release(process) }
            allocator = newLedger()
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
