/** What the job handling of one data centre needs from the rest of the process. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.core.WorkerApi
import kotlinx.coroutines.CoroutineScope

/** The right to hand out a data centre, held for one [term]. */
public class OwnerAuthority(
    public val dataCentre: String,
    public val term: Long,
    /** From this time on nothing that the previous owner sent can still take effect. */
    public val previousEffectsUntilMs: Long,
    /** Counts the task attempts of this process; a term can be regained, so the count must not restart with it. */
    public val nextAttempt: () -> Long,
    /** Deadline of the right; re-read right before each effect. */
    public val actUntilMs: () -> Long,
)

/** Work that the system itself stopped or gave up, for audit, quarantine and metrics. */
public class JobCallbacks(
    public val onPartFailed: (workerId: String, jobId: String) -> Unit = { _, _ -> },
    public val onPartSucceeded: (workerId: String, jobId: String) -> Unit = { _, _ -> },
    public val onPartStarted: (workerId: String, jobId: String, kind: String, waitMs: Long) -> Unit = { _, _, _, _ -> },
    public val onPreemption: (jobId: String, part: Int, workerId: String) -> Unit = { _, _, _ -> },
)

/**
 * Context of one owned data centre; all of it is used on the control thread that [scope] runs on.
 *
 * [kindOf] finds a kind of work in the current configuration.
 */
public class JobsContext(
    public val authority: OwnerAuthority,
    public val clock: ClockMs,
    public val table: TableApi,
    public val workerApi: WorkerApi,
    public val placer: WorkPlacer,
    public val scope: CoroutineScope,
    public val kindOf: (plan: String, kind: String) -> WorkKind?,
    public val callbacks: JobCallbacks = JobCallbacks(),
    public val log: ComponentLog = ComponentLog("jobs"),
) {
    internal fun mayAct(): Boolean = clock() < authority.actUntilMs()
}
