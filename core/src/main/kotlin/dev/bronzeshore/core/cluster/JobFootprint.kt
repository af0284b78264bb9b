/** What a job takes in memory. */
package dev.bronzeshore.core.cluster

/** Number of tasks in one occurrence. */
public val JobDescription.tasksInOccurrence: Int get() = steps.sumOf { it.replicas }
