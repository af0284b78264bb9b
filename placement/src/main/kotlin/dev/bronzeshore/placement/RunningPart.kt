/** One part that holds room on a worker. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency

/** A part from its placement until its end is reported; [charge] is what it takes from the worker's room. */
internal class RunningPart(
    val job: JobEntry,
    val part: Int,
    val worker: WorkerState,
    val startedAtMs: Long,
    var allocation: Resources,
) {
    /** Highest use reported so far. */
    var peakUsage: Resources = Resources.NONE

    /** Most recent use reported. */
    var lastUsage: Resources = Resources.NONE

    var reportCount: Int = 0

    /** True if the part may be asked to leave at all. */
    var isPreemptible: Boolean = false

    /** True if urgent work may ask the part to leave; its room then counts as reclaimable. */
    val isPreemptibleForUrgent: Boolean
        get() = isPreemptible && job.item.urgency != Urgency.URGENT

    /** When the part was last told to leave, or null. */
    var preemptedAtMs: Long? = null

    /** Deadline of a part that runs in reserved room; it has to leave then. */
    var mustEndByMs: Long? = null

    val isStopping: Boolean
        get() = preemptedAtMs != null

    /** Expected end by the declaration; the declared run time is often far off. */
    val expectedEndMs: Long
        get() = startedAtMs + job.item.declaredRunMs
}
