/** Sizes of the rows of a job's progress, and what a later leader restores from them. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.CrashRole
import dev.bronzeshore.core.cluster.CrashedRun
import dev.bronzeshore.core.cluster.JobDescription
import dev.bronzeshore.core.cluster.JobPhase
import dev.bronzeshore.core.cluster.JobProgress
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.ProgressPart
import dev.bronzeshore.core.cluster.ProgressPartRows
import dev.bronzeshore.core.cluster.QueueTerms
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.StepDescription
import dev.bronzeshore.core.cluster.Tables
import dev.bronzeshore.core.cluster.decodeRow
import dev.bronzeshore.core.cluster.encodeRow
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource

/** As many as a submission may have. */
private const val MAX_TASKS = 20_000
private const val TASKS_IN_PART = 57

/** Crashes that a task survives at most. */
private const val CRASHES = 4

class ProgressRowTest {
    internal class Case(
        val name: String,
        val tasks: Int,
        val attempts: Int = 3,
        val isGang: Boolean = false,
        val change: (TrackedTask) -> Unit,
    ) {
        override fun toString() = "$tasks tasks, $name"
    }

    private fun jobOf(case: Case): TrackedJob {
        val terms = QueueTerms("q", "s", priority = 1, maxAttempts = case.attempts, stretch = 2.0, graceMs = 0)
        val step = StepDescription(
            case.tasks,
            Resources(1_000, 1),
            estimateMs = 1_000,
            isGang = case.isGang,
            isCheckpointable = true,
        )
        val lastStep = StepDescription(1, Resources(1_000, 1), estimateMs = 1_000, after = listOf(0))
        return TrackedJob(AcceptedJob("00000000000000aa", JobDescription("", listOf(step, lastStep)), terms, 0), 0)
    }

    private fun TrackedJob.rows(): List<RowWrite> =
        (progressRows.allParts().takeIf { progressRows.hasParts }.orEmpty() + this).map { it.toWrite() }

    /** Guards against a progress row that the store refuses, with all other rows of its transaction. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `each row of the progress of a job fits`(case: Case) {
        val job = jobOf(case).apply { openSteps.first().tasks.forEach(case.change) }
        val largest = job.rows().maxOf { it.value.size }
        assertTrue(largest <= MAX_ROW_BYTES, "$largest bytes")
    }

    /** Guards against progress that is lost between the rows of its parts. */
    @ParameterizedTest
    @MethodSource("cases")
    internal fun `a later leader restores all parts`(case: Case) {
        val job = jobOf(case).apply { openSteps.first().tasks.forEach(case.change) }
        val restored = jobOf(case).apply { restoreFrom(job.rows()) }
        assertEquals(job.openSteps.map { it.toProgress() }, restored.openSteps.map { it.toProgress() })
        assertFalse(restored.isStoredWithoutParts)
    }

    /** Guards against progress that is lost by a takeover while the row of an earlier release is split. */
    @ParameterizedTest
    @CsvSource("0", "1", "30", "63")
    internal fun `a later leader restores a row that is split in part`(writtenParts: Int) {
        val case = checkpointed(3_600)
        val job = jobOf(case).apply { openSteps.first().tasks.forEach(case.change) }
        val progress = JobProgress(JobPhase.PENDING, listOfNotNull(job.openSteps.first().toProgress()))
        val whole = RowWrite(Tables.progressRow(job.id), encodeRow(JobProgress.serializer(), progress))
        job.openSteps.first().tasks.forEach { if (it.index % 3 == 0) it.isDone = true }
        val restored = jobOf(case).apply { restoreFrom(job.rows().take(writtenParts) + whole) }
        assertTrue(restored.isStoredWithoutParts)
        val doneTasks = restored.openSteps.first().toProgress()?.doneTasks
        assertEquals((0 until writtenParts * TASKS_IN_PART).filter { it % 3 == 0 && it < case.tasks }, doneTasks)
        assertEquals(case.tasks, restored.openSteps.first().tasks.count { it.isDone || it.checkpoint != null })
    }

    private fun TrackedJob.restoreFrom(rows: List<RowWrite>) {
        val (own, parts) = rows.partition { ProgressPartRows.jobOf(it.id.key) == null }
        restore(
            own.single().let { decodeRow(JobProgress.serializer(), it.value).getOrNull() },
            parts.mapNotNull { decodeRow(ProgressPart.serializer(), it.value).getOrNull() },
        )
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

        private fun longestCheckpoint(tasks: Int) = Case("all with the longest checkpoint", tasks) {
            it.checkpoint = "c".repeat(MAX_STORED_CHECKPOINT_BYTES)
        }

        private fun worst(tasks: Int, attempts: Int, isGang: Boolean = false) =
            Case("the longest checkpoint, all failures and crashes", tasks, attempts, isGang) { task ->
                task.checkpoint = "c".repeat(MAX_STORED_CHECKPOINT_BYTES)
                repeat(attempts - 1) { task.failedRuns += Long.MAX_VALUE - it }
                repeat(CRASHES) { task.crashes.record(CrashedRun(Long.MAX_VALUE - it, CrashRole.LIKELY_CAUSE, true)) }
                if (isGang) task.step.countGangFailure(1L + task.index)
            }

        @JvmStatic
        fun cases(): List<Any> = listOf(1, 60, 3_600, 8_000, MAX_TASKS).flatMap { tasks ->
            listOf(done(tasks), checkpointed(tasks), longestCheckpoint(tasks), failed(tasks), failedAndDone(tasks))
        } + listOf(3_200, 3_300, 5_000).map { checkpointed(it) } + listOf(10_000, 11_500).map { failed(it) } +
            failedAndDone(7_000) +
            listOf(1, 40, 70, 3_600).flatMap { tasks -> listOf(3, 40, 1_000).map { worst(tasks, attempts = it) } } +
            listOf(40, 3_600).map { worst(it, attempts = 3, isGang = true) }
    }
}
