/**
 * Estimates the memory that the leader needs for a job.
 *
 * The leader keeps the description of each open job, and the tasks of the occurrences that are due or running. All
 * processes use the same estimate, so that a job which one of them accepts fits in the memory of any later leader.
 */
package dev.bronzeshore.core.cluster

/** Memory for the open jobs of a cluster, less than a third of the smallest heap that a process is given (128 MB). */
public const val MAX_HELD_BYTES: Long = 40L shl 20

/** Largest memory for one job; a larger one would not fit beside any others. */
public const val MAX_JOB_BYTES: Long = MAX_HELD_BYTES / 2

/** Memory for a job whose end is stored, until its rows are deleted. */
public const val ENDED_JOB_BYTES: Long = 1_000

private const val JOB_BYTES = 2_000L
private const val STEP_BYTES = 1_200L

/** A task with a run, its progress and the worker's record of it. */
private const val TASK_BYTES = 700L

/** A takeover holds the text of a job several times: in the store's answer, as a stored row and decoded. */
private const val TEXT_COPIES = 5L

/** Number of tasks in one occurrence. */
public val JobDescription.tasksInOccurrence: Int get() = steps.sumOf { it.replicas }

/** Estimated memory in bytes that the leader needs while the job is open and one occurrence of it is due. */
public val JobDescription.footprintBytes: Long
    get() = JOB_BYTES + TEXT_COPIES * payload.length + STEP_BYTES * steps.size + TASK_BYTES * tasksInOccurrence
