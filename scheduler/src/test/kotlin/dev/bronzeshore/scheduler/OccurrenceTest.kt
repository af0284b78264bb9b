/** Occurrences of scheduled jobs: which are open, and what is kept of those that are done. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.JobSchedule
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StepDescription
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import kotlin.random.Random

private const val NOW_MS = 1_000L

class OccurrenceTest {
    data class DueCase(val schedule: JobSchedule, val replicas: Int, val open: List<Int>, val unopened: Int)

    /** Guards against occurrences that are open before they are due, in another order, or beyond the bound. */
    @ParameterizedTest
    @MethodSource("dueCases")
    fun `due occurrences are open up to the bound`(case: DueCase) {
        val registry = JobRegistry()
        val job = registry.addJob("a", case.schedule, case.replicas)
        OccurrenceOpener(registry).openDue(NOW_MS)
        assertEquals(case.open, job.openSteps.map { it.occurrence })
        assertEquals(case.unopened, job.occurrences.unopenedDueCount(NOW_MS, limit = Int.MAX_VALUE))
    }

    /** Guards against a backlog of some jobs that keeps another job from running at all. */
    @Test
    fun `the backlog of many jobs leaves an occurrence to each job`() {
        val registry = JobRegistry()
        val jobs = List(100) { registry.addJob("$it", JobSchedule(0, 0, 1_000), replicas = 1) }
        OccurrenceOpener(registry).openDue(NOW_MS)
        assertEquals(MAX_BACKLOG_TASKS + jobs.size, jobs.sumOf { it.openSteps.size })
        assertEquals(1, jobs.last().openSteps.size)
    }

    /** Guards against a set that loses or gains numbers when ranges meet; its ranges are as few as possible. */
    @Test
    fun `a set of occurrences holds what was added`() = repeat(50) { seed ->
        val random = Random(seed)
        val set = OccurrenceSet()
        val expected = sortedSetOf<Int>()
        repeat(200) {
            val number = random.nextInt(300)
            set.add(number)
            expected += number
        }
        assertEquals(expected.toList(), set.ranges.flatMap { (it.first..it.last).toList() }, "seed $seed")
        assertEquals(expected.size, set.count)
        assertEquals(expected.count { it - 1 !in expected }, set.ranges.size)
        (0 until 300).forEach { assertEquals(it in expected, it in set) }
    }

    companion object {
        private fun JobRegistry.addJob(id: String, schedule: JobSchedule, replicas: Int): TrackedJob {
            val step = StepDescription(replicas, Resources(1, 1), estimateMs = 100)
            val terms = QueueTerms("queue", "service", 0, 3, 2.0, 1_000)
            val accepted = AcceptedJob(id, JobDescription("payload", listOf(step), schedule), terms, 0)
            return checkNotNull(add(accepted, acceptedAtMs = 0, knownAtMs = 0, storedVersion = 1))
        }

        @JvmStatic
        fun dueCases(): List<DueCase> = listOf(
            DueCase(JobSchedule(NOW_MS + 1, 100, 3), 1, emptyList(), 0),
            DueCase(JobSchedule(NOW_MS, 100, 3), 1, listOf(0), 0),
            DueCase(JobSchedule(0, 400, 14_400), 1, listOf(0, 1, 2), 0),
            DueCase(JobSchedule(NOW_MS, -400, 3), 1, listOf(0, 1, 2), 0),
            DueCase(JobSchedule(NOW_MS + 500, -400, 3), 1, listOf(2), 0),
            DueCase(JobSchedule(0, 0, 502), 1, (0..500).toList(), 1),
            DueCase(JobSchedule(0, 0, 10), 200, listOf(0, 1, 2), 7),
            DueCase(JobSchedule(0, 0, 3), 600, listOf(0), 2),
            DueCase(JobSchedule(Long.MIN_VALUE, Long.MIN_VALUE, 2), 1, listOf(0, 1), 0),
            DueCase(JobSchedule(Long.MAX_VALUE, Long.MAX_VALUE, 2), 1, emptyList(), 0),
            DueCase(JobSchedule(0, 0, 0), 1, emptyList(), 0),
        )
    }
}
