/** Dependencies of the job handling of one data centre. */
package dev.bronzeshore.jobs

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.ComponentLog
import dev.bronzeshore.core.TableApi
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.core.WorkPlacer
import dev.bronzeshore.core.WorkerApi
import kotlinx.coroutines.CoroutineScope

/** This process's ownership of a data centre for one [term]. */
public class OwnerAuthority(
    public val dataCentre: String,
    public val term: Long,
    /** After this time nothing that the previous owner sent can take effect. */
    public val previousEffectsUntilMs: Long,
    /** Counts the task attempts of this process; a term can be regained, so the count must not restart with it. */
    public val nextAttempt: () -> Long,
    /** Time until which this process may act as owner; read again immediately before each effect. */
    public val actUntilMs: () -> Long,
)

/** Callbacks for the starts, ends and preemptions of parts, used for metrics and quarantine. */
public class JobCallbacks(
    public val onPartFailed: (workerId: String, jobId: String) -> Unit = { _, _ -> },
    public val onPartSucceeded: (workerId: String, jobId: String) -> Unit = { _, _ -> },
    public val onPartStarted: (workerId: String, jobId: String, kind: String, waitMs: Long) -> Unit = { _, _, _, _ -> },
    public val onPreemption: (jobId: String, part: Int, workerId: String) -> Unit = { _, _, _ -> },
)

/**
 * Context of one owned data centre, used only on the control thread that [scope] runs on.
 *
 * [kindOf] looks up a kind of work in the current configuration.
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
