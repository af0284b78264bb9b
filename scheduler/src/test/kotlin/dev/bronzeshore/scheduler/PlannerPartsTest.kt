/** Small parts of the scheduler, each with a table of cases. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.AdviceTicket
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.TaskRun
import dev.bronzeshore.core.cluster.WorkerEntry
import dev.bronzeshore.core.cluster.WorkerIncarnation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.math.abs
import kotlin.math.exp
import kotlin.random.Random

private const val SERVICE = "service"
private val WORKER_CAPACITY = Resources(16_000, 32_000)

class PlannerPartsTest {
    private fun job(id: String, priority: Int, estimateMs: Long, acceptedAtMs: Long): TrackedJob {
        val terms = QueueTerms("q$priority", SERVICE, priority, 3, 2.0, 500)
        return TrackedJob(
            AcceptedJob(id, JobDescription("", listOf(StepDescription(1, Resources(1_000, 1), estimateMs))), terms, 0),
            acceptedAtMs,
        )
    }

    private fun worker(id: String) = TrackedWorker(
        WorkerEntry(WorkerIncarnation(id, 1), SERVICE, "$id:1", "dc", false, WORKER_CAPACITY, emptySet(), null),
    )

    /** Guards against late work that delays work which can still end in time. */
    @ParameterizedTest
    @CsvSource("0, IN_TIME", "1400, IN_TIME", "1600, LATE", "6400, LATE", "6600, WORTHLESS")
    internal fun `ranks by lateness`(nowMs: Long, expected: Lateness) {
        // The objective is 2 x 1,000 ms + 500 ms; a start after 1,500 ms is too late for it.
        assertEquals(expected, rank(job("a", 1, 1_000, 0).steps.first(), nowMs, 0).lateness)
    }

    /** Guards against an order that puts priority before what can still be done in time, or ignores it. */
    @Test
    fun `orders by lateness, priority and latest start`() {
        val urgent = rank(job("urgent", 0, 1_000, 0).steps.first(), 1_000, 0)
        val patient = rank(job("patient", 2, 1_000, 0).steps.first(), 1_000, 0)
        val later = rank(job("later", 2, 1_000, 500).steps.first(), 1_000, 0)
        val late = rank(job("late", 0, 1_000, -2_000).steps.first(), 1_000, 0)
        val order = listOf(late, later, patient, urgent).sortedWith(STEP_ORDER).map { it.step.job.id }
        assertEquals(listOf("urgent", "patient", "later", "late"), order)
    }

    /** Guards against room that is counted in one dimension only. */
    @ParameterizedTest
    @CsvSource("4, 8, 4", "4, 16, 2", "20, 1, 0", "0, 8, 4", "0, 0, 2147483647")
    fun `counts what fits`(cores: Long, memory: Long, expected: Int) {
        assertEquals(expected, Resources(cores, memory).countIn(Resources(16, 32)))
    }

    /** Guards against a lease that is taken for over while a slow clock of the worker still grants it. */
    @ParameterizedTest
    @CsvSource("5900, false", "6050, false", "6130, true")
    fun `waits for leases on slow clocks`(elapsedMs: Long, isOver: Boolean) {
        val clock = WorkerClock()
        clock.observe(workerClockMs = 1_000, nowMs = 50_000)
        clock.extendLease(7_000)
        assertEquals(isOver, clock.isLeaseOver(50_000 + elapsedMs))
    }

    /** Guards against slow workers that look normal because a queue mostly runs on them. */
    @Test
    fun `tells slow workers from queues with low estimates`() {
        val book = SpeedBook()
        val slow = worker("slow")
        val fast = worker("fast")
        val random = Random(7)
        repeat(400) {
            val noise = exp(random.nextDouble(-0.2, 0.2))
            book.observe(
                "patient",
                if (random.nextInt(4) >
                    0
                ) {
                    slow
                } else {
                    fast
                },
                noise * if (random.nextBoolean()) 3.0 else 3.0,
            )
            book.observe("urgent", slow, noise * 2.0)
            book.observe("urgent", fast, noise * 0.7)
        }
        assertTrue(book.slownessOf(slow) > 1.5 * book.slownessOf(fast))
        assertTrue(abs(book.slownessOf(fast)) < 1.0)
    }

    private val lifeA = WorkerIncarnation("a", 1)
    private val lifeB = WorkerIncarnation("b", 1)

    /** Guards against a ticket that is used after its validity or after the worker refused it. */
    @Test
    fun `tickets expire but the choice of workers stays`() {
        val advice = StepAdvice()
        advice.record(listOf(lifeA, lifeB), listOf(AdviceTicket("a", "t")), validUntilMs = 100)
        assertEquals("t", advice.ticketFor(lifeA, 99))
        assertNull(advice.ticketFor(lifeA, 100))
        assertTrue(advice.mayRunOn(lifeA))
        assertFalse(advice.mayRunOn(lifeB))
        advice.expire(lifeA)
        assertNull(advice.ticketFor(lifeA, 0))
    }

    /** Guards against a task that waits for ever for a ticket of a worker that came back as another kind (LOST). */
    @Test
    fun `a worker that starts again is asked for anew`() {
        val advice = StepAdvice()
        advice.record(listOf(lifeA), listOf(AdviceTicket("a", "t")), validUntilMs = 100)
        val secondLife = WorkerIncarnation("a", 2)
        assertFalse(advice.isAsked(secondLife))
        assertFalse(advice.mayRunOn(secondLife))
        advice.record(listOf(secondLife), emptyList(), validUntilMs = 200)
        assertTrue(advice.isAsked(secondLife))
        assertFalse(advice.mayRunOn(secondLife))
    }

    /** Guards against a task that stays planned on a worker that a later answer leaves out. */
    @Test
    fun `a later answer replaces an earlier one`() {
        val advice = StepAdvice()
        advice.record(listOf(lifeA), listOf(AdviceTicket("a", "t")), validUntilMs = 100)
        advice.record(listOf(lifeA), emptyList(), validUntilMs = 200)
        assertFalse(advice.mayRunOn(lifeA))
    }

    /** Guards against ends that are acknowledged before the progress that they change is stored. */
    @Test
    fun `a batch covers only changes before the next unsaved job`() {
        val changes = ChangeLog()
        val first = job("1", 1, 100, 0)
        val second = job("2", 1, 100, 0)
        changes.note(first)
        changes.note(second)
        changes.note(first)
        val batch = changes.takeBatch(limit = 1)
        assertEquals(listOf(first), batch.jobs)
        assertEquals(1, batch.savedUpTo)
        changes.putBack(batch)
        assertEquals(listOf(first, second), changes.takeBatch(limit = 2).jobs)
    }

    /** Guards against a late start order, not sent yet, that a report takes for lost. */
    @Test
    fun `an order that is not sent yet is valid without end`() {
        val task = job("1", 1, 100, 0).steps.first().tasks.first()
        val placement = Placement(task, worker("w"), TaskRun(task.name, 1), 0)
        assertEquals(Long.MAX_VALUE, placement.validUntilWorkerMs)
        placement.orderSent(500)
        placement.orderSent(400)
        assertEquals(500, placement.validUntilWorkerMs)
    }
}
