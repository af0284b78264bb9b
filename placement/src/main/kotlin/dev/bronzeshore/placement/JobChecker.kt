/** Finds jobs that can never start in this data centre, so that they get a result code and never block a queue. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Refusal
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.WorkItem

internal class JobChecker(
    private val clock: ClockMs,
    private val workers: WorkerRegistry,
    private val registry: JobRegistry,
    private val reservations: ReservationRegistry,
) {
    /** True once allowances were set; until then no job is refused for exceeding the allowance of its plan. */
    var allowancesKnown: Boolean = false

    /** Set when the fleet or an allowance has changed, so that queued jobs are checked again. */
    var fleetChanged: Boolean = false

    fun checkFeasibility(item: WorkItem): Fault? {
        val partsAtOnce = if (item.isGang()) item.pendingParts.size else 1
        if (!workers.fitsEmptyFleet(item.size, partsAtOnce)) {
            return Fault(ResultCode.FITS_NOWHERE, "no worker of the fleet fits ${item.size} x $partsAtOnce, even empty")
        }
        val limit = registry.plans[item.plan]?.limit ?: Resources.NONE
        return if (allowancesKnown && !(item.size * partsAtOnce).fitsIn(limit)) {
            Fault(ResultCode.OVER_ALLOWANCE, "${item.size} x $partsAtOnce exceeds the allowance of plan ${item.plan}")
        } else {
            null
        }
    }

    fun checkDeadline(item: WorkItem): Fault? {
        val startBeforeMs = item.startBeforeMs ?: return null
        return if (startBeforeMs < clock()) deadlinePassed() else null
    }

    /** Refuses queued jobs whose latest start has passed or that can no longer start. */
    fun refuseInfeasible(refusals: MutableList<Refusal>) {
        val nowMs = clock()
        while (true) {
            val job = registry.deadlines.pollExpired(nowMs) ?: break
            refuse(job, deadlinePassed(), refusals)
        }
        if (!fleetChanged) return
        fleetChanged = false
        for (job in registry.jobs.values.filter { it.shapeQueue != null && !it.started }) {
            checkFeasibility(job.item)?.let { refuse(job, it, refusals) }
        }
    }

    private fun refuse(job: JobEntry, fault: Fault, refusals: MutableList<Refusal>) {
        reservations.removeAllOf(job)
        registry.dequeue(job)
        job.pending.clear()
        registry.removeIfDone(job)
        refusals.add(Refusal(job.item.jobId, fault))
    }

    private fun deadlinePassed(): Fault = Fault(ResultCode.DEADLINE_PASSED, "the latest start deadline has passed")
}
