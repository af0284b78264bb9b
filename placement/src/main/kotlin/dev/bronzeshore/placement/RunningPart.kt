/** A part that occupies capacity on a worker. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency

/** A part from its placement until its end is reported; [allocation] is what it takes from the worker's capacity. */
internal class RunningPart(
    val job: JobEntry,
    val part: Int,
    val worker: WorkerState,
    val startedAtMs: Long,
    var allocation: Resources,
) {
    /** Highest reported usage so far, in each dimension. */
    var peakUsage: Resources = Resources.NONE

    /** Most recently reported usage. */
    var lastUsage: Resources = Resources.NONE

    var reportCount: Int = 0

    /** True if the part may be preempted at all. */
    var isPreemptible: Boolean = false

    /** True if urgent work may preempt the part; its allocation then counts as reclaimable. */
    val isPreemptibleForUrgent: Boolean
        get() = isPreemptible && job.item.urgency != Urgency.URGENT

    /** When the last preemption was requested, or null. */
    var preemptedAtMs: Long? = null

    /** Deadline of a backfill part, which runs in reserved capacity and may be preempted then; otherwise null. */
    var mustEndByMs: Long? = null

    val isStopping: Boolean
        get() = preemptedAtMs != null

    /** Expected end by the declared run time, which is often inaccurate. */
    val expectedEndMs: Long
        get() = startedAtMs + job.item.declaredRunMs
}
