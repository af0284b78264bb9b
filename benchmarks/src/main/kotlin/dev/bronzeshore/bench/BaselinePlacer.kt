/** Simple placers to compare with: strict order of arrival, and one rule for the choice of worker. */
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

/** Free room of one worker as a baseline sees it. */
internal class BaselineRoom(val workerId: String, var free: Resources)

/** Picks one of the workers that fit a size, or null if none does. */
internal typealias RoomChooser = (rooms: List<BaselineRoom>, size: Resources) -> BaselineRoom?

/** First come, first served: the first job in the queue blocks all others; every worker is looked at. */
internal class BaselinePlacer(private val choose: RoomChooser) : WorkPlacer {
    private val rooms = ArrayList<BaselineRoom>()
    private val byId = HashMap<String, BaselineRoom>()
    private val queue = ArrayDeque<Pending>()
    private val items = HashMap<String, WorkItem>()

    private class Pending(val item: WorkItem, val parts: ArrayDeque<Int>)

    override fun putWorker(worker: PlacementWorker) {
        val room = BaselineRoom(worker.workerId, worker.capacity)
        rooms.add(room)
        byId[worker.workerId] = room
    }

    override fun removeWorker(workerId: String) {
        rooms.remove(byId.remove(workerId))
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
                chooseAll(head)
            } else {
                choosePart(head)
            }
            if (chosen.isEmpty()) break
            placements.addAll(chosen)
            if (head.parts.isEmpty()) queue.removeFirst()
        }
        return Decisions(placements)
    }

    override fun waitReason(jobId: String): String? = null

    private fun choosePart(head: Pending): List<Placement> {
        val room = choose(rooms, head.item.size) ?: return emptyList()
        room.free -= head.item.size
        return listOf(Placement(head.item.jobId, head.parts.removeFirst(), room.workerId))
    }

    private fun chooseAll(head: Pending): List<Placement> {
        val taken = ArrayList<BaselineRoom>()
        repeat(head.parts.size) {
            val room = choose(rooms, head.item.size)
            if (room == null) {
                taken.forEach { used -> used.free += head.item.size }
                return emptyList()
            }
            room.free -= head.item.size
            taken.add(room)
        }
        return taken.map { Placement(head.item.jobId, head.parts.removeFirst(), it.workerId) }
    }

    companion object {
        val FIRST_FIT: RoomChooser = { rooms, size -> rooms.firstOrNull { size.fitsIn(it.free) } }

        val LEAST_LOADED: RoomChooser = { rooms, size ->
            rooms.filter { size.fitsIn(it.free) }.maxByOrNull { it.free.processorsMillicores }
        }

        fun random(seed: Long): RoomChooser {
            val random = Random(seed)
            return { rooms, size -> rooms.filter { size.fitsIn(it.free) }.randomOrNull(random) }
        }
    }
}
