/** What the parts of a leader share during one term. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.cluster.ClusterBounds
import dev.bronzeshore.core.cluster.ClusterStore
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.WorkerCalls
import kotlinx.coroutines.CoroutineScope

/** The leader's sign of life, which the journal writes along with its own rows when it is due. */
public class TermRenewal(
    /** The row to write, or null when the last sign of life is recent. */
    public val dueBeat: () -> RowWrite?,
    /** The row was written by a call that was sent at the given steady time. */
    public val renewed: (sentAtMs: Long) -> Unit,
)

/** State and calls of one term; everything runs on the control thread. */
internal class TermContext(
    val term: Long,
    val termRowVersion: Long,
    val store: ClusterStore,
    val calls: WorkerCalls,
    val bounds: ClusterBounds,
    /** Steady clock. */
    val clock: ClockMs,
    /** Time of day, for schedules and stored times. */
    val wallClock: ClockMs,
    val scope: CoroutineScope,
    val metrics: SchedulerMetrics,
    val renewal: TermRenewal,
    /** A fence of a worker or the term row in the store has shown that another process leads. */
    val onLeadershipLost: suspend () -> Unit,
) {
    val log = EventLog("scheduler")
    val fleet = Fleet()
    val book = JobBook()
    val changes = ChangeLog()

    /** All changes up to this number are stored. */
    var savedChange: Long = 0

    /** Wakes the planner. */
    var wakePlanner: () -> Unit = {}

    /** Wakes the journal. */
    var wakeJournal: () -> Unit = {}

    /** Notes a change of a job's progress. */
    fun noteChange(job: TrackedJob): Long = changes.note(job).also { wakeJournal() }
}
