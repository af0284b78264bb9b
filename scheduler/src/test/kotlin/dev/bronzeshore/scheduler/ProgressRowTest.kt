/** Size of a job's progress row: the largest contents that the store takes, and contents beyond its limit. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.StepDescription
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** As many as a submission may have. */
private const val MAX_TASKS = 20_000

class ProgressRowTest {
    internal class Case(val name: String, val tasks: Int, val change: (TrackedTask) -> Unit) {
        override fun toString() = "$tasks tasks, $name"
    }

    private fun rowBytesOf(case: Case): Int {
        val terms = QueueTerms("q", "s", priority = 1, maxAttempts = 3, stretch = 2.0, graceMs = 0)
        val step = StepDescription(case.tasks, Resources(1_000, 1), estimateMs = 1_000, isCheckpointable = true)
        val job = TrackedJob(AcceptedJob("00000000000000aa", JobDescription("", listOf(step)), terms, 0), 0)
        job.openSteps.single().tasks.forEach(case.change)
        return job.toWrite().value.size
    }

    /** Guards against a progress row that grows until the store refuses it, with all other rows of its transaction. */
    @ParameterizedTest
    @MethodSource("casesAtLimit")
    internal fun `the progress of a job up to the limit fits`(case: Case) = assertFits(case)

    /** Guards against an accepted job whose progress the store refuses, with that of all other jobs. */
    @Tag("known-red")
    @ParameterizedTest
    @MethodSource("casesBeyondLimit")
    internal fun `the progress of a job with the most tasks fits`(case: Case) = assertFits(case)

    private fun assertFits(case: Case) {
        val bytes = rowBytesOf(case)
        assertTrue(bytes <= MAX_ROW_BYTES, "$bytes bytes")
    }

    companion object {
        private fun done(tasks: Int) = Case("all done", tasks) { it.isDone = true }

        private fun checkpointed(tasks: Int) =
            Case("all with a checkpoint", tasks) { it.checkpoint = it.index.toString(16).padStart(16, '0') }

        private fun failed(tasks: Int) = Case("all failed once", tasks) { it.failedRuns += 1L }

        private fun failedAndDone(tasks: Int) = Case("all failed once and done", tasks) {
            it.failedRuns += 1L
            it.isDone = true
        }

        @JvmStatic
        fun casesAtLimit(): List<Any> =
            listOf(done(MAX_TASKS), checkpointed(3_200), failed(10_000), failedAndDone(7_000))

        @JvmStatic
        fun casesBeyondLimit(): List<Any> = listOf(3_300, 5_000, MAX_TASKS).map { checkpointed(it) } +
            listOf(11_500, MAX_TASKS).map { failed(it) } + listOf(8_000, MAX_TASKS).map { failedAndDone(it) }
    }
}
