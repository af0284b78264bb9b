/** All workers of the data centre with their room. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources

internal class WorkerTable {
    private val byId: HashMap<String, WorkerRoom> = HashMap()
    private val bySlot: ArrayList<WorkerRoom> = ArrayList()
    private val unusedSlots: ArrayDeque<Int> = ArrayDeque()
    private val fleet = FleetCapacity()
    private val plain = WorkerPool { bySlot[it] }
    private val accelerated = WorkerPool { bySlot[it] }
    private val reclaimable = FreeRoomIndex { it.processorsMillicores }
    private val reserved = FreeRoomIndex { it.processorsMillicores }
    private val slots = IntArray(MAX_RECLAIM_CANDIDATES)

    /** Workers with more free room than when the queue last looked at them. */
    val freed: LinkedHashSet<WorkerRoom> = LinkedHashSet()

    /** Sum over all workers of the fleet. */
    val totalCapacity: Resources
        get() = fleet.total

    /** Returns true if the fleet lost capacity, so that queued jobs may have become impossible. */
    fun put(worker: PlacementWorker): Boolean {
        val room = roomOf(worker.workerId)
        val shrank = !room.capacity.fitsIn(worker.capacity)
        fleet.change(room.capacity, -1)
        unindex(room)
        room.removed = false
        room.rack = worker.rack
        room.capacity = worker.capacity
        room.accepting = worker.accepting
        fleet.change(room.capacity, 1)
        refresh(room)
        return shrank
    }

    /** Takes the worker out of the fleet; its parts stay charged until their end is reported. */
    fun remove(workerId: String): WorkerRoom? {
        val room = byId[workerId] ?: return null
        fleet.change(room.capacity, -1)
        room.removed = true
        room.accepting = false
        room.capacity = Resources.NONE
        unindex(room)
        dropIfUnused(room)
        return room
    }

    fun find(workerId: String): WorkerRoom? = byId[workerId]

    /** Returns the worker, creating an entry without capacity for one that is only known from a report. */
    fun roomOf(workerId: String): WorkerRoom = byId.getOrPut(workerId) {
        val slot = unusedSlots.removeFirstOrNull() ?: bySlot.size
        val room = WorkerRoom(workerId, slot)
        if (slot == bySlot.size) bySlot.add(room) else bySlot[slot] = room
        room
    }

    fun charge(running: RunningPart) {
        val room = running.worker
        room.parts.add(running)
        room.charged += running.charge
        if (running.yields) room.yielding += running.charge
        refresh(room)
    }

    fun release(running: RunningPart) {
        val room = running.worker
        room.parts.remove(running)
        room.charged -= running.charge
        room.seen -= running.seenLast
        if (running.yields) room.yielding -= running.charge
        if (running.isStopping) room.stopping -= running.charge
        refresh(room)
        dropIfUnused(room)
    }

    /** Replaces what [running] takes, after its estimate changed. */
    fun recharge(running: RunningPart, charge: Resources) {
        val room = running.worker
        val change = charge - running.charge
        running.charge = charge
        room.charged += change
        if (running.yields) room.yielding += change
        if (running.isStopping) room.stopping += change
        refresh(room)
    }

    /** Brings the indexes up to date after the room of a worker changed. */
    fun refresh(room: WorkerRoom) {
        if (!room.accepting) return unindex(room)
        val free = room.free
        poolOf(room).put(room)
        reclaimable.put(room.slot, free + room.yielding)
        if (room.holds.isEmpty()) reserved.remove(room.slot) else reserved.put(room.slot, room.uncharged)
        if (!free.fitsIn(room.indexedFree)) freed.add(room)
        room.indexedFree = free
    }

    /** Returns the accepting worker with the lowest score that has [size] free, or null. */
    fun bestFit(size: Resources, scoreOf: (WorkerRoom) -> Long): WorkerRoom? {
        if (size.accelerators == 0L) plain.bestFit(size, scoreOf)?.let { return it }
        return accelerated.bestFit(size, scoreOf)
    }

    /** True if [parts] parts of [size] fit at the same time. */
    fun fitTogether(size: Resources, parts: Int): Boolean {
        val onPlain = if (size.accelerators == 0L) plain.countFitting(size, parts) else 0
        return onPlain == parts || onPlain + accelerated.countFitting(size, parts - onPlain) == parts
    }

    /** Workers where [size] is free once all parts that may be asked to leave have left; least room first. */
    fun reclaimableFor(size: Resources): List<WorkerRoom> {
        val found = reclaimable.collectFitting(size, slots)
        return List(found) { bySlot[slots[it]] }
    }

    /** Workers with reservations where running parts leave room for [size]. */
    fun reservedRoomFor(size: Resources): List<WorkerRoom> {
        val found = reserved.collectFitting(size, slots)
        return List(found) { bySlot[slots[it]] }
    }

    /** Up to [count] workers with the most free processors that fit [size] when empty. */
    fun roomiest(size: Resources, count: Int): List<WorkerRoom> {
        val rooms = accelerated.largest(count)
        val all = if (size.accelerators > 0) rooms else plain.largest(count) + rooms
        return all.filter { size.fitsIn(it.capacity - it.held) }.take(count)
    }

    /** True if [parts] parts of [size] fit on the empty fleet; also true while no worker is known. */
    fun fitsEmptyFleet(size: Resources, parts: Int): Boolean = fleet.fits(size, parts)

    fun sizeClassOf(size: Resources): Int = fleet.sizeClassOf(size)

    private fun poolOf(room: WorkerRoom): WorkerPool = if (room.capacity.accelerators > 0) accelerated else plain

    private fun unindex(room: WorkerRoom) {
        plain.remove(room)
        accelerated.remove(room)
        reclaimable.remove(room.slot)
        reserved.remove(room.slot)
        freed.remove(room)
        room.indexedFree = Resources.NONE
    }

    private fun dropIfUnused(room: WorkerRoom) {
        if (!room.removed || room.parts.isNotEmpty()) return
        if (byId.remove(room.workerId) != null) unusedSlots.addLast(room.slot)
    }

    private companion object {
        /** Workers examined for one preemption; more make urgent decisions slower without better choices. */
        const val MAX_RECLAIM_CANDIDATES = 24
    }
}
