/**
 * How the progress of a job is distributed over rows, so that none is larger than the store takes.
 *
 * A job with few tasks has one row. One with more has a row for each range of tasks of a step beside its own, so that
 * the end of a task rewrites only the row of its range. The ranges depend on the job alone and never change.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.AcceptedJob
import dev.bronzeshore.core.cluster.MAX_ROW_BYTES
import dev.bronzeshore.core.cluster.tasksInOccurrence

/** Longer checkpoints are not stored: after a change of the leader, such a task may start from its beginning. */
internal const val MAX_STORED_CHECKPOINT_BYTES: Int = 600

/** Size in a row of a task's index, and of the crashes that it survives at most. */
private const val TASK_BYTES = 260

/** Size of a task's checkpoint with its index. */
private const val CHECKPOINT_BYTES = MAX_STORED_CHECKPOINT_BYTES + 16
private const val FAILED_RUN_BYTES = 9

/** Left for the names of the fields, and for the occurrences that are done. */
private const val RESERVED_BYTES = 14_000
private const val MAX_TASKS_IN_PART = 64

internal class ProgressLayout(job: AcceptedJob) {
    private val taskBytes: Long = TASK_BYTES +
        FAILED_RUN_BYTES * job.terms.maxAttempts.toLong() +
        if (job.description.steps.any { it.isCheckpointable }) CHECKPOINT_BYTES else 0

    private val tasksInRow: Long = ((MAX_ROW_BYTES - RESERVED_BYTES) / taskBytes).coerceAtLeast(1)

    /** The job has rows for parts of its tasks. */
    val hasParts: Boolean = job.description.tasksInOccurrence + backlogTasksOf(job) > tasksInRow

    private val tasksInPart: Int = minOf(tasksInRow, MAX_TASKS_IN_PART.toLong()).toInt()

    /** The range of [step] to which the task with this index belongs. */
    fun rangeOf(step: TrackedStep, index: Int): IntRange {
        val first = index / tasksInPart * tasksInPart
        return first..minOf(first + tasksInPart, step.tasks.size) - 1
    }

    /** All ranges of [step]. */
    fun rangesOf(step: TrackedStep): List<IntRange> = step.tasks.indices.step(tasksInPart).map { rangeOf(step, it) }

    private fun backlogTasksOf(job: AcceptedJob): Long {
        val further = (job.description.occurrences - 1L) * job.description.tasksInOccurrence
        return minOf(further, MAX_BACKLOG_TASKS_PER_JOB.toLong())
    }
}

/** The checkpoint as it is stored, or null if it is too long for that. */
internal fun storedCheckpoint(checkpoint: String?): String? =
    checkpoint?.takeIf { it.encodeToByteArray().size <= MAX_STORED_CHECKPOINT_BYTES }
