/** Test inputs shared by the tests of this module. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkKind

internal const val GIB: Long = 1L shl 30

internal class FakeClock(var nowMs: Long = 1_000_000)

internal fun cores(count: Int, memoryGib: Int = count): Resources = Resources(count * 1_000L, memoryGib * GIB)

internal fun worker(id: String, size: Resources = cores(8), accepting: Boolean = true): PlacementWorker =
    PlacementWorker(id, "rack-${id.last()}", size, accepting)

internal fun allowance(plan: String, limit: Resources = cores(1_000), weight: Int = 1): Allowance =
    Allowance(plan, "dc1", limit, weight = weight)

internal val batch: WorkKind = WorkKind("batch", Policy.BATCH)
internal val gang: WorkKind = WorkKind("gang", Policy.GANG)
internal val important: WorkKind = WorkKind("important", Policy.IMPORTANT)

internal fun job(
    id: String,
    size: Resources = cores(1),
    parts: Int = 1,
    kind: WorkKind = batch,
    urgency: Urgency = Urgency.NORMAL,
    startBeforeMs: Long? = null,
): WorkItem = WorkItem(id, "p", kind, urgency, size, parts, false, 1_000_000, startBeforeMs, 60_000)

/** An engine with workers w0, w1, ... of 8 cores each and allowances for the plans p and q. */
internal fun engine(clock: FakeClock = FakeClock(), workers: Int = 2): PlacementEngine {
    val engine = PlacementEngine({ clock.nowMs })
    repeat(workers) { engine.putWorker(worker("w$it")) }
    engine.setAllowances(listOf(allowance("p"), allowance("q")))
    return engine
}
