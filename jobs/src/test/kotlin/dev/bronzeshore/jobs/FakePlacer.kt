/** Places pending parts on the accepting worker with the fewest parts, without capacity limits. */
package dev.bronzeshore.jobs

import arrow.core.Either
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Decisions
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer

internal class FakePlacer : WorkPlacer {
    private val workers = LinkedHashMap<String, PlacementWorker>()
    private val pending = LinkedHashSet<Pair<String, Int>>()
    val running = LinkedHashMap<Pair<String, Int>, String>()

    override fun putWorker(worker: PlacementWorker) {
        workers[worker.workerId] = worker
    }

    override fun removeWorker(workerId: String) {
        workers -= workerId
    }

    override fun setAllowances(allowances: List<Allowance>) = Unit

    override fun check(item: WorkItem): Either<Fault, Unit> = Unit.right()

    override fun submit(item: WorkItem): Either<Fault, Unit> {
        item.pendingParts.mapTo(pending) { item.jobId to it }
        return Unit.right()
    }

    override fun cancel(jobId: String) {
        pending.removeAll { it.first == jobId }
    }

    override fun adopt(item: WorkItem, part: Int, workerId: String) {
        pending -= item.jobId to part
        running[item.jobId to part] = workerId
    }

    override fun partEnded(jobId: String, part: Int, workerId: String, requeue: Boolean) {
        running -= jobId to part
        if (requeue) pending += jobId to part
    }

    override fun reportUsage(jobId: String, part: Int, workerId: String, used: Resources) = Unit

    override fun decide(limit: Int): Decisions {
        val accepting = workers.values.filter { it.accepting }.map { it.workerId }
        if (accepting.isEmpty()) return Decisions()
        val placements = pending.take(limit).map { part ->
            val workerId = accepting.minBy { id -> running.values.count { it == id } }
            running[part] = workerId
            Placement(part.first, part.second, workerId)
        }
        pending -= placements.map { it.jobId to it.part }.toSet()
        return Decisions(placements)
    }

    override fun waitReason(jobId: String): String? = "no worker".takeIf { pending.any { it.first == jobId } }
}
