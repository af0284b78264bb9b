package dev.bronzeshore.placement

import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WorkItem
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class PlacementEngineTest {
    private val clock = FakeClock()

    private class RefusalCase(val name: String, val item: WorkItem, val code: ResultCode?)

    /** Guards against jobs that can never start and stay queued forever, and against refusing jobs that can start. */
    @TestFactory
    fun `jobs that can never start are refused at once`(): List<DynamicTest> = listOf(
        RefusalCase("fits", job("a", cores(8)), null),
        RefusalCase("too many processors", job("a", cores(9, 1)), ResultCode.FITS_NOWHERE),
        RefusalCase("too much memory", job("a", cores(1, 9)), ResultCode.FITS_NOWHERE),
        RefusalCase("no accelerator", job("a", Resources(1, 1, 1)), ResultCode.FITS_NOWHERE),
        RefusalCase("gang larger than the fleet", job("a", cores(5), 3, gang), ResultCode.FITS_NOWHERE),
        RefusalCase("parts one after the other", job("a", cores(5), 3), null),
        RefusalCase("unknown plan", job("a").copy(plan = "x"), ResultCode.OVER_ALLOWANCE),
        RefusalCase("deadline passed", job("a", startBeforeMs = clock.nowMs - 1), ResultCode.DEADLINE_PASSED),
        RefusalCase("deadline now", job("a", startBeforeMs = clock.nowMs), null),
    ).map { dynamicTest(it.name) { assertEquals(it.code, engine(clock).submit(it.item).leftOrNull()?.code) } }

    /** Guards against a gang that occupies some workers while it waits for others. */
    @Test
    fun `a gang starts as a whole or not at all`() {
        val engine = engine(clock)
        engine.submit(job("filler", cores(6)))
        engine.decide(10)
        engine.submit(job("g", cores(4), 4, gang))
        assertTrue(engine.decide(10).placements.isEmpty())
        engine.partEnded("filler", 0, "w0", false)
        engine.partEnded("filler", 0, "w1", false)
        assertEquals(4, engine.decide(10).placements.count { it.jobId == "g" })
    }

    /** Guards against a plan that exceeds its hard limit over several rounds. */
    @Test
    fun `a plan stays within its limit`() {
        val engine = engine(clock)
        engine.setAllowances(listOf(allowance("p", cores(3))))
        engine.submit(job("a", parts = 5))
        assertEquals(3, engine.decide(10).placements.size)
        assertEquals(0, engine.decide(10).placements.size)
        assertTrue(engine.waitReason("a").orEmpty().contains("allowance"))
        engine.partEnded("a", 0, "w0", false)
        assertEquals(1, engine.decide(10).placements.size)
    }

    /** Guards against work that starts after its latest start. */
    @Test
    fun `queued work whose deadline passes is refused`() {
        val engine = engine(clock, workers = 1)
        engine.submit(job("a", cores(8)))
        engine.decide(10)
        engine.submit(job("b", startBeforeMs = clock.nowMs + 10))
        assertTrue(engine.decide(10).refusals.isEmpty())
        clock.nowMs += 11
        assertEquals(ResultCode.DEADLINE_PASSED, engine.decide(10).refusals.single().fault.code)
        assertNull(engine.waitReason("b"))
    }

    /** Guards against starting a cancelled job, and against allocating the capacity of its running parts twice. */
    @Test
    fun `cancel removes pending parts and keeps running ones`() {
        val engine = engine(clock, workers = 1)
        engine.submit(job("a", cores(5), parts = 2))
        engine.decide(10)
        assertNotNull(engine.waitReason("a"))
        engine.cancel("a")
        engine.submit(job("b", cores(5)))
        assertTrue(engine.decide(10).placements.isEmpty())
        engine.partEnded("a", 0, "w0", false)
        assertEquals(listOf(Placement("b", 0, "w0")), engine.decide(10).placements)
    }

    /** Guards against a new owner that starts a part again although a worker reported that it is running. */
    @Test
    fun `an adopted part occupies capacity and is not started again`() {
        val engine = engine(clock, workers = 1)
        val item = job("a", cores(5), parts = 1)
        engine.submit(item)
        engine.adopt(item, 0, "w0")
        engine.submit(job("b", cores(5)))
        assertTrue(engine.decide(10).placements.isEmpty())
    }

    /** Guards against jobs that wait forever after the only worker that fits them was removed. */
    @Test
    fun `queued jobs that can no longer start are refused`() {
        val engine = engine(clock, workers = 1)
        engine.putWorker(worker("big", cores(16), accepting = false))
        engine.submit(job("a", cores(12)))
        assertTrue(engine.decide(10).refusals.isEmpty())
        engine.removeWorker("big")
        assertEquals(ResultCode.FITS_NOWHERE, engine.decide(10).refusals.single().fault.code)
    }

    /** Guards against losing a part that ended early, such as by preemption, and has to run again. */
    @Test
    fun `a requeued part is placed again`() {
        val engine = engine(clock, workers = 1)
        engine.submit(job("a"))
        engine.decide(10)
        engine.partEnded("a", 0, "w0", true)
        assertEquals(listOf(Placement("a", 0, "w0")), engine.decide(10).placements)
    }
}
