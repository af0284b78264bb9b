/** All workers of the data centre with their room. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources

internal class WorkerTable {
    private val byId: HashMap<String, WorkerRoom> = HashMap()
    private var nextSlot: Int = 0

    /** Number of workers per capacity; fleets have few different capacities. */
    private val capacities: HashMap<Resources, Int> = HashMap()

    /** Workers with more free room than at the last round. */
    val freed: LinkedHashSet<WorkerRoom> = LinkedHashSet()

    /** Returns true if the fleet lost capacity, so that queued jobs may have become impossible. */
    fun put(worker: PlacementWorker): Boolean {
        val room = roomOf(worker.workerId)
        val shrank = !worker.capacity.let { room.capacity.fitsIn(it) }
        countCapacity(room, -1)
        room.removed = false
        room.rack = worker.rack
        room.capacity = worker.capacity
        room.accepting = worker.accepting
        countCapacity(room, 1)
        freed.add(room)
        return shrank
    }

    fun remove(workerId: String): WorkerRoom? {
        val room = byId[workerId] ?: return null
        countCapacity(room, -1)
        room.removed = true
        room.accepting = false
        room.capacity = Resources.NONE
        freed.remove(room)
        dropIfUnused(room)
        return room
    }

    /** Returns the worker, creating an entry without capacity for one that is only known from a report. */
    fun roomOf(workerId: String): WorkerRoom = byId.getOrPut(workerId) { WorkerRoom(workerId, nextSlot++) }

    fun charge(running: RunningPart) {
        val room = running.worker
        room.charged += running.charge
        room.parts.add(running)
    }

    fun release(running: RunningPart) {
        val room = running.worker
        room.parts.remove(running)
        room.charged -= running.charge
        if (room.accepting) freed.add(room)
        dropIfUnused(room)
    }

    /** Returns the accepting worker with the least room left that fits [size], or null. */
    fun bestFit(size: Resources): WorkerRoom? {
        var best: WorkerRoom? = null
        for (room in byId.values) {
            if (!room.accepting || !size.fitsIn(room.free)) continue
            if (best == null || room.free.processorsMillicores < best.free.processorsMillicores) best = room
        }
        return best
    }

    /** True if [parts] parts of [size] fit on the empty fleet; also true while no worker is known. */
    fun fitsEmptyFleet(size: Resources, parts: Int): Boolean {
        if (capacities.isEmpty()) return true
        var fitting = 0L
        for ((capacity, workers) in capacities) fitting += timesFitting(size, capacity) * workers
        return fitting >= parts
    }

    private fun timesFitting(size: Resources, capacity: Resources): Long = minOf(
        quotient(capacity.processorsMillicores, size.processorsMillicores),
        quotient(capacity.memoryBytes, size.memoryBytes),
        quotient(capacity.accelerators, size.accelerators),
    )

    private fun quotient(capacity: Long, size: Long): Long = if (size == 0L) Int.MAX_VALUE.toLong() else capacity / size

    private fun countCapacity(room: WorkerRoom, change: Int) {
        if (room.capacity == Resources.NONE) return
        capacities.merge(room.capacity, change) { old, added -> (old + added).takeIf { it > 0 } }
    }

    private fun dropIfUnused(room: WorkerRoom) {
        if (room.removed && room.parts.isEmpty()) byId.remove(room.workerId)
    }
}
