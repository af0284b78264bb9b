/** What the process that runs a leader knows of its term, and does for it. */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.RowWrite
import dev.bronzeshore.core.cluster.WorkerIncarnation

public class TermControl(
    public val renewal: TermRenewal,
    public val authority: TermAuthority,
    /** Ends the term: a worker refused the fencing token, or the term row shows that another process leads. */
    public val onLeadershipLost: suspend () -> Unit,
)

/** The leader's heartbeat, which the progress journal writes along with its own rows when it is due. */
public class TermRenewal(
    /** The heartbeat row to write, or null if the last heartbeat is recent. */
    public val dueHeartbeat: () -> RowWrite?,
    /** Called when the row is stored, with the monotonic time at which the write was sent. */
    public val recordRenewal: (sentAtMs: Long) -> Unit,
    /** Monotonic time at which the last confirmed heartbeat was sent. */
    public val renewedAtMs: () -> Long = { Long.MIN_VALUE },
)

/** What the leader may do by its term. */
public class TermAuthority(
    /** True while no successor can take leases for over that this leader grants now. */
    public val mayGrantLeases: () -> Boolean,
    /** Monotonic time from which former leaders grant no leases, but for a short time; null while that is not known. */
    public val formerRevokedAtMs: () -> Long?,
    /** Keeps the authority until cancelled. */
    public val maintain: suspend () -> Unit,
    public val workerAnswers: WorkerAnswers,
)

/** Receives the answers of workers, which show that they refuse former leaders. */
public class WorkerAnswers(
    /** Clock that includes suspensions. */
    public val clock: ClockMs,
    /** Called with an incarnation that has answered, and the time of [clock] before the request was sent. */
    public val record: (worker: WorkerIncarnation, sentAtMs: Long) -> Unit,
)
