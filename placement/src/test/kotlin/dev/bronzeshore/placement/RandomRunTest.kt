package dev.bronzeshore.placement

import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

/**
 * 20,000 random operations for each of six seeds: submissions, cancellations, ends, lost workers and rounds.
 *
 * Seeds 5 and 6 also report usage, so that allocations differ from declared sizes: declared processors may then exceed
 * the capacity of a worker, memory and accelerators may not.
 *
 * Guards against a worker over its capacity, a plan over its limit, a part that runs twice, a gang that starts
 * partially and a part that is preempted more than twice an hour, in any order of events.
 */
class RandomRunTest {
    private class Run(val item: WorkItem, val part: Int, val workerId: String) {
        var isStopping: Boolean = false
    }

    private val clock = FakeClock()
    private var reports = false
    private val engine = PlacementEngine({ clock.nowMs })
    private val capacities = HashMap<String, Resources>()
    private val items = HashMap<String, WorkItem>()
    private val running = LinkedHashMap<Placed, Run>()
    private val preempted = HashMap<Placed, ArrayList<Long>>()
    private val limits = mapOf("p" to cores(60), "q" to cores(40), "r" to cores(200))

    private data class Placed(val jobId: String, val part: Int)

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `invariants hold after each of 20,000 random operations`(seed: Int) {
        val random = Random(seed)
        reports = seed > 4
        engine.setAllowances(limits.map { (plan, limit) -> allowance(plan, limit, weight = 1 + plan.length) })
        repeat(20) { putWorker(it, accepting = true, random) }
        repeat(OPERATIONS) { step ->
            clock.nowMs += random.nextLong(400)
            performOperation(step, random)
            if (random.nextInt(3) == 0) decide()
            checkLimits()
        }
        assertTrue(startedGangs.size > 100 && preempted.size > 100) { "the run has to preempt parts and start gangs" }
    }

    private fun performOperation(step: Int, random: Random) {
        when (random.nextInt(100)) {
            in 0..34 -> submit("j$step", random)
            in 35..84 -> running.keys.randomOrNull(random)?.let { end(it, requeue = random.nextInt(10) == 0) }
            in 85..92 -> items.keys.randomOrNull(random)?.let { engine.cancel(it) }
            in 93..95 -> putWorker(random.nextInt(20), random.nextBoolean(), random)
            96 -> if (reports) running.values.forEach { reportUsage(it, random) }
            97 -> loseWorker("w${random.nextInt(20)}")
            else -> putWorker(random.nextInt(20), accepting = true, random)
        }
    }

    private fun submit(id: String, random: Random) {
        val policy = listOf(
            Policy.BATCH,
            Policy.BATCH,
            Policy.GANG,
            Policy.IMPORTANT,
            Policy.INTERACTIVE,
        ).random(random)
        val item = WorkItem(
            jobId = id,
            plan = limits.keys.random(random),
            kind = WorkKind(policy.name, policy, weight = 1 + policy.ordinal),
            urgency = Urgency.entries.random(random),
            size = Resources(random.nextLong(1, 9) * 500, random.nextLong(1, 9) * GIB / 2, random.nextLong(20) / 19),
            parts = random.nextInt(1, 6),
            allAtOnce = false,
            acceptedAtMs = clock.nowMs,
            startBeforeMs = if (random.nextInt(4) == 0) clock.nowMs + random.nextLong(120_000) else null,
            declaredRunMs = random.nextLong(1_000, 100_000),
        )
        if (engine.submit(item).isRight()) items[id] = item
    }

    private fun decide() {
        val decisions = engine.decide(limit = 16)
        decisions.refusals.forEach { refusal ->
            assertTrue(running.keys.none { it.jobId == refusal.jobId }) { "${refusal.jobId} was refused while it runs" }
            items.remove(refusal.jobId)
        }
        for (preemption in decisions.preemptions) {
            val key = Placed(preemption.jobId, preemption.part)
            val run = running.getValue(key)
            assertEquals(preemption.workerId, run.workerId)
            // A preemption that is repeated because the part did not end counts once.
            if (!run.isStopping) preempted.getOrPut(key) { ArrayList() }.add(clock.nowMs)
            run.isStopping = true
        }
        for (placement in decisions.placements) {
            val item = items.getValue(placement.jobId)
            val key = Placed(placement.jobId, placement.part)
            assertTrue(running.put(key, Run(item, placement.part, placement.workerId)) == null) { "$key runs twice" }
        }
        decisions.placements.groupBy { it.jobId }.forEach { (id, parts) -> checkGang(items.getValue(id), parts.size) }
        decisions.preemptions.map { Placed(it.jobId, it.part) }.forEach { if (clock.nowMs % 2 == 0L) end(it, true) }
    }

    private val startedGangs = HashSet<String>()

    private fun checkGang(item: WorkItem, partsNow: Int) {
        if (item.isGang() &&
            startedGangs.add(item.jobId)
        ) {
            assertEquals(item.parts, partsNow) { "part of ${item.jobId}" }
        }
    }

    private fun end(key: Placed, requeue: Boolean) {
        val run = running.remove(key) ?: return
        engine.partEnded(key.jobId, key.part, run.workerId, requeue)
    }

    private fun reportUsage(run: Run, random: Random) {
        val used = Resources(random.nextLong(run.item.size.processorsMillicores), run.item.size.memoryBytes / 2)
        engine.reportUsage(run.item.jobId, run.part, run.workerId, used)
    }

    private fun putWorker(number: Int, accepting: Boolean, random: Random) {
        val id = "w$number"
        val capacity = capacities[id] ?: Resources(8_000, 8 * GIB, random.nextLong(2))
        capacities[id] = capacity
        engine.putWorker(worker(id, capacity, accepting))
    }

    private fun loseWorker(id: String) {
        engine.removeWorker(id)
        running.filterValues { it.workerId == id }.keys.toList().forEach { end(it, requeue = true) }
    }

    private fun checkLimits() {
        for ((workerId, runs) in running.values.groupBy { it.workerId }) {
            val sum = runs.fold(Resources.NONE) { sum, run -> sum + run.item.size }
            val counted = if (reports) sum.copy(processorsMillicores = 0) else sum
            assertTrue(counted.fitsIn(capacities.getValue(workerId))) { "$workerId is over its capacity" }
        }
        for ((plan, runs) in running.values.groupBy { it.item.plan }) {
            val sum = runs.fold(Resources.NONE) { sum, run -> sum + run.item.size }
            assertTrue(sum.fitsIn(limits.getValue(plan))) { "$plan is over its limit" }
        }
        preempted.values.forEach { times ->
            assertTrue(times.none { first -> times.count { it >= first && it < first + 3_600_000 } > 2 })
        }
    }

    private companion object {
        const val OPERATIONS = 20_000
    }
}
