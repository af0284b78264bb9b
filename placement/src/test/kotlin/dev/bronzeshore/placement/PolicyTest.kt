package dev.bronzeshore.placement

import dev.bronzeshore.core.Decisions
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Preemption
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.TaskAction
import dev.bronzeshore.core.Urgency
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class PolicyTest {
    private val clock = FakeClock()

    private val workerOf = HashMap<String, String>()

    /** Advances the clock, runs a round and records where each part was placed. */
    private fun PlacementEngine.step(ms: Long = 100): Decisions {
        clock.nowMs += ms
        val decisions = decide(100)
        decisions.placements.forEach { workerOf["${it.jobId}/${it.part}"] = it.workerId }
        return decisions
    }

    private fun PlacementEngine.end(jobId: String, part: Int = 0, requeue: Boolean = false) {
        partEnded(jobId, part, workerOf.getValue("$jobId/$part"), requeue)
    }

    /** Guards against urgent work that waits for long tasks, and against freed capacity that goes to other work. */
    @Test
    fun `urgent work preempts patient work and gets the freed capacity`() {
        val engine = engine(clock, workers = 1)
        engine.submit(job("patient", cores(8), urgency = Urgency.PATIENT))
        engine.decide(10)
        clock.nowMs += 1
        engine.submit(job("urgent", cores(4), urgency = Urgency.URGENT))
        assertEquals(listOf(Preemption("patient", 0, "w0", TaskAction.CHECKPOINT)), engine.decide(10).preemptions)
        engine.submit(job("competitor", cores(8)))
        engine.partEnded("patient", 0, "w0", requeue = true)
        assertEquals(listOf(Placement("urgent", 0, "w0")), engine.decide(10).placements)
    }

    private class RetryCase(val name: String, val isIdempotent: Boolean, val retryAction: TaskAction)

    /** Guards against urgent work that waits forever after a preemption was lost, and against running work twice. */
    @TestFactory
    fun `a preemption without effect is repeated`(): List<DynamicTest> = listOf(
        RetryCase("idempotent", true, TaskAction.STOP),
        RetryCase("not idempotent", false, TaskAction.CHECKPOINT),
    ).map { case ->
        dynamicTest(case.name) {
            val engine = PlacementEngine({ clock.nowMs }, isIdempotent = { case.isIdempotent })
            engine.putWorker(worker("w0"))
            engine.setAllowances(listOf(allowance("p")))
            engine.submit(job("patient", cores(8), urgency = Urgency.PATIENT))
            engine.decide(10)
            clock.nowMs += 1
            engine.submit(job("urgent", cores(4), urgency = Urgency.URGENT))
            assertEquals(TaskAction.CHECKPOINT, engine.decide(10).preemptions.single().action)
            assertTrue(engine.step(2_900).preemptions.isEmpty())
            assertEquals(case.retryAction, engine.step(100).preemptions.single().action)
        }
    }

    /** Guards against a part that is preempted so often that it never ends. */
    @Test
    fun `a part is preempted at most twice an hour`() {
        val engine = engine(clock, workers = 1)
        engine.submit(job("patient", cores(8), urgency = Urgency.PATIENT))
        var preemptionCount = 0
        repeat(5) { round ->
            engine.step()
            engine.submit(job("urgent$round", cores(8), urgency = Urgency.URGENT))
            val preemptions = engine.step().preemptions
            preemptionCount += preemptions.size
            preemptions.forEach { engine.partEnded(it.jobId, it.part, it.workerId, requeue = true) }
            engine.step()
            engine.partEnded("urgent$round", 0, "w0", requeue = false)
            engine.cancel("urgent$round")
        }
        assertEquals(2, preemptionCount)
        engine.submit(job("late", cores(8), urgency = Urgency.URGENT))
        assertEquals(0, engine.step().preemptions.size)
    }

    /** Guards against important work that misses its latest start behind other work. */
    @Test
    fun `important work close to its latest start preempts other work`() {
        val engine = engine(clock, workers = 1)
        engine.submit(job("other", cores(8)))
        engine.decide(10)
        val deadlineMs = clock.nowMs + 120_000
        engine.submit(job("render", cores(8), kind = important, startBeforeMs = deadlineMs))
        assertTrue(engine.step().preemptions.isEmpty())
        clock.nowMs = deadlineMs - JobEntry.TIME_CRITICAL_BEFORE_MS
        assertEquals("other", engine.step().preemptions.single().jobId)
        engine.partEnded("other", 0, "w0", requeue = true)
        assertEquals("render", engine.step().placements.single().jobId)
    }

    /** Guards against a gang that starves because small work takes all capacity that becomes free. */
    @Test
    fun `a blocked gang starts although small work keeps arriving`() {
        val engine = engine(clock, workers = 2)
        engine.submit(job("filler", cores(1), parts = 16))
        engine.step(1)
        engine.submit(job("g", cores(8), 2, gang))
        engine.submit(job("small", cores(1), parts = 100))
        engine.step(1)
        val placed = ArrayList<Placement>()
        repeat(16) { part ->
            engine.end("filler", part)
            placed += engine.step(1).placements
        }
        assertEquals(listOf("g", "g"), placed.map { it.jobId })
    }

    /** Guards against backfill that delays a reserved gang, and against idle reserved capacity until it starts. */
    @Test
    fun `backfill runs in reserved capacity only until the reservation starts`() {
        val engine = engine(clock, workers = 2)
        engine.submit(job("a", cores(8)).copy(declaredRunMs = 20_000))
        engine.submit(job("b", cores(4)).copy(declaredRunMs = 50_000))
        engine.step()
        engine.submit(job("g", cores(8), 2, gang))
        engine.step()
        engine.submit(job("long", cores(4)).copy(declaredRunMs = 90_000))
        engine.submit(job("short", cores(4)).copy(declaredRunMs = 30_000))
        assertEquals(listOf("short"), engine.step().placements.map { it.jobId })
        engine.end("a", 0, requeue = false)
        engine.end("b", 0, requeue = false)
        assertEquals(emptyList<Placement>(), engine.step().placements)
        clock.nowMs += 50_000
        assertEquals("short", engine.decide(10).preemptions.single().jobId)
        engine.end("short", 0, requeue = true)
        assertEquals(listOf("g", "g"), engine.decide(10).placements.map { it.jobId })
    }

    /** Guards against a deadlock of two gangs of different plans that each reserve what the other needs. */
    @Test
    fun `two blocked gangs start one after the other`() {
        val engine = engine(clock, workers = 2)
        engine.submit(job("filler", cores(8), parts = 2))
        engine.step()
        engine.submit(job("g1", cores(8), 2, gang))
        engine.submit(job("g2", cores(8), 2, gang).copy(plan = "q"))
        engine.step()
        engine.end("filler", 0, requeue = false)
        engine.step()
        engine.end("filler", 1, requeue = false)
        val first = engine.step().placements
        assertEquals(2, first.size)
        first.forEach { engine.partEnded(it.jobId, it.part, it.workerId, requeue = false) }
        assertEquals(setOf("g1", "g2"), (first + engine.step().placements).map { it.jobId }.toSet())
    }

    /** Guards against a plan that gets nothing because another one filled the data centre before it. */
    @Test
    fun `a plan below its share is served first and preempts borrowers`() {
        val engine = engine(clock, workers = 2)
        engine.submit(job("borrower", cores(1), parts = 100).copy(declaredRunMs = 3_600_000))
        engine.decide(100)
        engine.submit(job("entitled", cores(4), parts = 2).copy(plan = "q"))
        val stopped = (0..50).flatMap { engine.step().preemptions }.distinct()
        assertEquals(8, stopped.count { it.jobId == "borrower" })
        stopped.forEach { engine.partEnded(it.jobId, it.part, it.workerId, requeue = true) }
        assertEquals(listOf("entitled", "entitled"), engine.step().placements.map { it.jobId })
    }

    /** Guards against a job that is skipped at its plan's limit and not tried again when the limit allows it. */
    @Test
    fun `a job that waited for free capacity and then for its limit starts`() {
        val engine = engine(clock, workers = 2)
        engine.submit(job("a", cores(2)))
        engine.submit(job("x", cores(6)).copy(plan = "q"))
        engine.submit(job("y", cores(8)).copy(plan = "q"))
        assertEquals(3, engine.step().placements.size)
        engine.submit(job("b", cores(4)))
        assertTrue(engine.step().placements.isEmpty())
        engine.setAllowances(listOf(allowance("p", cores(4)), allowance("q")))
        engine.end("y")
        assertTrue(engine.step().placements.isEmpty())
        engine.end("a")
        assertEquals(listOf("b"), engine.step().placements.map { it.jobId })
    }

    private class UsageCase(val name: String, val reports: Int, val used: Resources, val placed: Int)

    /** Guards against estimates from too few reports, and against memory that is allocated twice. */
    @TestFactory
    fun `usage reports lower the processors of batch parts only`(): List<DynamicTest> = listOf(
        UsageCase("few reports", 4, Resources(1_000, GIB), 0),
        UsageCase("low usage", 5, Resources(1_000, GIB), 1),
        UsageCase("high usage", 5, Resources(7_000, GIB), 0),
        UsageCase("memory usage above the declared size", 5, Resources(1_000, 8 * GIB), 0),
    ).map { case ->
        dynamicTest(case.name) {
            val engine = engine(clock, workers = 1)
            engine.submit(job("a", cores(8, 4)))
            engine.decide(10)
            repeat(case.reports) { engine.reportUsage("a", 0, "w0", case.used) }
            engine.submit(job("b", cores(4, 4)))
            assertEquals(case.placed, engine.step().placements.size)
        }
    }

    /** Guards against a worker that stays overloaded after an estimate was too low. */
    @Test
    fun `the least urgent part is preempted when reported usage nears the capacity`() {
        val engine = engine(clock, workers = 1)
        engine.submit(job("a", cores(8, 2)))
        engine.decide(10)
        repeat(5) { engine.reportUsage("a", 0, "w0", Resources(1_000, GIB)) }
        engine.submit(job("b", cores(4, 2), urgency = Urgency.PATIENT))
        assertEquals(listOf(Placement("b", 0, "w0")), engine.step().placements)
        clock.nowMs += 1
        engine.reportUsage("b", 0, "w0", Resources(3_000, GIB))
        engine.reportUsage("a", 0, "w0", Resources(6_000, GIB))
        assertEquals("b", engine.step().preemptions.single().jobId)
    }
}
