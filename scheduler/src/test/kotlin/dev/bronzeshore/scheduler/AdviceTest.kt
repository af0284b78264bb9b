/** How many workers a step asks about, how a question is split into calls, and the learned share of good answers. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.AdviceTerms
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.WorkerIncarnation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource

class AdviceTest {
    internal data class Case(
        val shortage: AdviceShortage,
        val withRoom: Int,
        val withoutRoom: Int,
        val chosenWithRoom: Int,
        val chosenWithoutRoom: Int,
    )

    /** Guards against questions about all workers of a large fleet, and about too few to start a step. */
    @ParameterizedTest
    @MethodSource("shortages")
    internal fun `asks about the workers that a step is expected to need`(case: Case) {
        val room = List(case.withRoom) { "r$it" }
        val full = List(case.withoutRoom) { "f$it" }
        val expected = room.take(case.chosenWithRoom) + full.take(case.chosenWithoutRoom)
        assertEquals(expected, workersToAsk(case.shortage, room, full))
    }

    /** Guards against calls one after another while other processes are idle, and against calls over the limit. */
    @ParameterizedTest
    @CsvSource("169, 40, 6, 29", "169, 2, 2, 50", "260, 1, 1, 50", "16, 40, 1, 16", "31, 40, 2, 16", "5, 0, 0, 0")
    fun `splits a question into parallel calls`(workers: Int, clients: Int, calls: Int, first: Int) {
        val split = splitIntoCalls(List(workers) { it }, clients)
        assertEquals(calls, split.size)
        assertEquals(first, split.firstOrNull()?.size ?: 0)
        assertEquals(split.flatten().distinct(), split.flatten())
    }

    /** Guards against a share that one odd answer decides, or that stays at its start value. */
    @Test
    fun `learns the share of good answers`() {
        val shares = AdviceShares()
        shares.record("q", asked = 2, good = 0)
        assertTrue(shares.goodShare("q") in 0.2..0.4)
        repeat(50) { shares.record("q", asked = 30, good = 21) }
        assertTrue(shares.goodShare("q") in 0.68..0.72)
    }

    companion object {
        @JvmStatic
        fun shortages(): List<Any> = listOf(
            Case(AdviceShortage(39, 39, 0, 0.25), 220, 40, 203, 0),
            Case(AdviceShortage(39, 39, 0, 0.25), 20, 240, 20, 183),
            Case(AdviceShortage(3, 3, 0, 0.7), 200, 0, 16, 0),
            Case(AdviceShortage(8, 2, 6, 0.3), 10, 100, 10, 0),
            Case(AdviceShortage(8, 8, 8, 0.3), 0, 100, 0, 0),
            Case(AdviceShortage(8, 8, 2, 0.25), 0, 100, 0, 32),
        )
    }

    /**
     * Guards against calls of a second each for many wide jobs that occupy all processes, so that steps with shorter
     * calls get no advice; and against processes that stay idle when only long calls wait.
     */
    @ParameterizedTest(name = "in flight {0}, waiting {1}: {3} free for {2}")
    @CsvSource(
        "'',                             VERY_LONG,        VERY_LONG, 15",
        "'',                             LONG;VERY_LONG,   VERY_LONG, 12",
        "VERY_LONG*12,                   LONG;VERY_LONG,   VERY_LONG, 0",
        "VERY_LONG*12,                   LONG;VERY_LONG,   LONG,      3",
        "VERY_LONG*15,                   LONG;VERY_LONG,   LONG,      0",
        "VERY_LONG*15,                   SHORT;VERY_LONG,  SHORT,     5",
        "VERY_LONG*8;LONG*7;SHORT*4,     SHORT;LONG,       SHORT,     1",
    )
    internal fun `long calls leave processes to shorter ones`(
        inFlight: String,
        waiting: String,
        length: CallLength,
        free: Int,
    ) {
        val calls = inFlight.split(";").filter { it.isNotEmpty() }.flatMap { entry ->
            val (name, count) = entry.split("*")
            List(count.toInt()) { CallLength.valueOf(name) }
        }
        val slots = AdviceSlots(clients = 20, calls, waiting.split(";").map { CallLength.valueOf(it) })
        assertEquals(free, slots.freeFor(length))
    }

    /**
     * Guards against a backlog of steps without advice that makes planning rounds so long that the calls themselves
     * wait: each round works out few calls of each length, and the optional ones last.
     */
    @Test
    fun `a round collects no more calls than can be made soon`() {
        val needs = AdviceNeeds(clients = 2)
        val wide = stepWithAdvice(decisionMs = 700.0)
        val small = stepWithAdvice(decisionMs = 5.0)
        val worker = listOf(WorkerIncarnation("w", 1))
        needs.add(AdviceNeed(wide, worker, isOptional = true))
        repeat(5) { if (!needs.isFull(CallLength.VERY_LONG)) needs.add(AdviceNeed(wide, worker)) }
        needs.add(AdviceNeed(small, worker))
        assertEquals(listOf(true, false), listOf(CallLength.VERY_LONG, CallLength.SHORT).map { needs.isFull(it) })
        val lengths = needs.all.map { it.length to it.isOptional }
        val wideNeeds = List(5) { CallLength.VERY_LONG to false }
        assertEquals(wideNeeds + (CallLength.SHORT to false) + (CallLength.VERY_LONG to true), lengths)
        needs.all.forEach { needs.remove(it) }
        assertEquals(0, needs.all.size)
    }

    /** Guards against a call for a step that has found its workers or ended since the call was worked out. */
    @Test
    fun `a need is open while its step waits`() {
        val step = stepWithAdvice(decisionMs = 5.0)
        val need = AdviceNeed(step, listOf(WorkerIncarnation("w", 1)))
        assertTrue(need.isOpen(nowMs = 0))
        step.advice.beginCall(need.workers)
        assertEquals(false, need.isOpen(nowMs = 0))
        step.advice.endCall(need.workers)
        step.tasks.forEach { it.isDone = true }
        assertEquals(false, need.isOpen(nowMs = 0))
    }

    private fun stepWithAdvice(decisionMs: Double): TrackedStep {
        val terms = QueueTerms("q", "s", 1, 3, 2.0, 0, AdviceTerms(decisionMs, perWorkerMs = 1.0, validityMs = 2_000))
        val description = JobDescription("", listOf(StepDescription(2, Resources(1_000, 1), 1_000)))
        return TrackedJob(AcceptedJob("job", description, terms, 0), 0).openSteps.first()
    }
}
