/** Baseline placers for comparison: strict first come, first served, with one rule for selecting the worker. */
package dev.bronzeshore.bench

import arrow.core.Either
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Decisions
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Placement
import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WorkItem
import dev.bronzeshore.core.WorkPlacer
import kotlin.random.Random

/** A worker and its free capacity, as a baseline placer tracks it. */
internal class BaselineWorker(val workerId: String, var free: Resources)

/** Selects a worker with enough free capacity, or returns null if there is none. */
internal typealias WorkerSelector = (workers: List<BaselineWorker>, size: Resources) -> BaselineWorker?

/** First come, first served: the first job in the queue blocks all others; every placement scans all workers. */
internal class BaselinePlacer(private val select: WorkerSelector) : WorkPlacer {
    private val workers = ArrayList<BaselineWorker>()
    private val byId = HashMap<String, BaselineWorker>()
    private val queue = ArrayDeque<Pending>()
    private val items = HashMap<String, WorkItem>()

    private class Pending(val item: WorkItem, val parts: ArrayDeque<Int>)

    override fun putWorker(worker: PlacementWorker) {
        val added = BaselineWorker(worker.workerId, worker.capacity)
        workers.add(added)
        byId[worker.workerId] = added
    }

    override fun removeWorker(workerId: String) {
        workers.remove(byId.remove(workerId))
    }

    override fun setAllowances(allowances: List<Allowance>): Unit = Unit

    override fun check(item: WorkItem): Either<Fault, Unit> = Unit.right()

    override fun submit(item: WorkItem): Either<Fault, Unit> {
        items[item.jobId] = item
        queue.addLast(Pending(item, ArrayDeque(item.pendingParts)))
        return Unit.right()
    }

    override fun cancel(jobId: String) {
        queue.removeAll { it.item.jobId == jobId }
    }

    override fun adopt(item: WorkItem, part: Int, workerId: String): Unit = Unit

    override fun partEnded(jobId: String, part: Int, workerId: String, requeue: Boolean) {
        byId[workerId]?.let { it.free += items.getValue(jobId).size }
    }

    override fun reportUsage(jobId: String, part: Int, workerId: String, used: Resources): Unit = Unit

    override fun decide(limit: Int): Decisions {
        val placements = ArrayList<Placement>()
        while (placements.size < limit && queue.isNotEmpty()) {
            val head = queue.first()
            val chosen = if (head.item.allAtOnce ||
                head.item.kind.policy == Policy.GANG
            ) {
                placeAll(head)
            } else {
                placePart(head)
            }
            if (chosen.isEmpty()) break
            placements.addAll(chosen)
            if (head.parts.isEmpty()) queue.removeFirst()
        }
        return Decisions(placements)
    }

    override fun waitReason(jobId: String): String? = null

    private fun placePart(head: Pending): List<Placement> {
        val worker = select(workers, head.item.size) ?: return emptyList()
        worker.free -= head.item.size
        return listOf(Placement(head.item.jobId, head.parts.removeFirst(), worker.workerId))
    }

    private fun placeAll(head: Pending): List<Placement> {
        val selected = ArrayList<BaselineWorker>()
        repeat(head.parts.size) {
            val worker = select(workers, head.item.size)
            if (worker == null) {
                selected.forEach { allocated -> allocated.free += head.item.size }
                return emptyList()
            }
            worker.free -= head.item.size
            selected.add(worker)
        }
        return selected.map { Placement(head.item.jobId, head.parts.removeFirst(), it.workerId) }
    }

    companion object {
        val FIRST_FIT: WorkerSelector = { workers, size -> workers.firstOrNull { size.fitsIn(it.free) } }

        val LEAST_LOADED: WorkerSelector = { workers, size ->
            workers.filter { size.fitsIn(it.free) }.maxByOrNull { it.free.processorsMillicores }
        }

        fun random(seed: Long): WorkerSelector {
            val random = Random(seed)
            return { workers, size -> workers.filter { size.fitsIn(it.free) }.randomOrNull(random) }
        }
    }
}
