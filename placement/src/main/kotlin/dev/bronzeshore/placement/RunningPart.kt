/** One part that holds room on a worker. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** A part from its placement until its end is reported; [charge] is what it takes from the worker's room. */
internal class RunningPart(
    val job: JobEntry,
    val part: Int,
    val worker: WorkerRoom,
    val startedAtMs: Long,
    var charge: Resources,
) {
    /** Highest use reported so far. */
    var seenPeak: Resources = Resources.NONE

    /** Most recent use reported. */
    var seenLast: Resources = Resources.NONE

    var reportCount: Int = 0
}
