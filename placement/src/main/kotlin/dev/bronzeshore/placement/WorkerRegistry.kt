/** All workers of the data centre and their free capacity. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.PlacementWorker
import dev.bronzeshore.core.Resources

internal class WorkerRegistry {
    private val byId: HashMap<String, WorkerState> = HashMap()
    private val bySlot: ArrayList<WorkerState> = ArrayList()
    private val unusedSlots: ArrayDeque<Int> = ArrayDeque()
    private val fleet = FleetCapacity()
    private val plain = WorkerIndex { bySlot[it] }
    private val accelerated = WorkerIndex { bySlot[it] }
    private val reclaimable = FreeCapacityIndex { it.processorsMillicores }

    /** Unallocated capacity of workers with reservations, which backfill may use. */
    private val spare = FreeCapacityIndex { it.processorsMillicores }
    private val slots = IntArray(MAX_RECLAIM_CANDIDATES)

    /** Workers whose free capacity has grown since blocked work was last tried on them. */
    val freedWorkers: LinkedHashSet<WorkerState> = LinkedHashSet()

    /** Total capacity of all workers in the fleet. */
    val totalCapacity: Resources
        get() = fleet.total

    /** Adds or updates a worker; returns true if its capacity shrank, so that queued jobs may no longer fit. */
    fun put(worker: PlacementWorker): Boolean {
        val state = findOrCreate(worker.workerId)
        val shrank = !state.capacity.fitsIn(worker.capacity)
        fleet.change(state.capacity, -1)
        removeFromIndexes(state)
        state.removed = false
        state.rack = worker.rack
        state.capacity = worker.capacity
        state.accepting = worker.accepting
        fleet.change(state.capacity, 1)
        refresh(state)
        return shrank
    }

    /** Removes the worker from the fleet; its parts stay allocated until their end is reported. */
    fun remove(workerId: String): WorkerState? {
        val worker = byId[workerId] ?: return null
        fleet.change(worker.capacity, -1)
        worker.removed = true
        worker.accepting = false
        worker.capacity = Resources.NONE
        removeFromIndexes(worker)
        removeIfUnused(worker)
        return worker
    }

    fun find(workerId: String): WorkerState? = byId[workerId]

    /** Returns the worker, creating an entry without capacity for one that is only known from a report. */
    fun findOrCreate(workerId: String): WorkerState = byId.getOrPut(workerId) {
        val slot = unusedSlots.removeFirstOrNull() ?: bySlot.size
        val worker = WorkerState(workerId, slot)
        if (slot == bySlot.size) bySlot.add(worker) else bySlot[slot] = worker
        worker
    }

    fun allocate(running: RunningPart) {
        val worker = running.worker
        worker.parts.add(running)
        worker.allocated += running.allocation
        if (running.isPreemptibleForUrgent) worker.preemptible += running.allocation
        refresh(worker)
    }

    fun release(running: RunningPart) {
        val worker = running.worker
        worker.parts.remove(running)
        worker.allocated -= running.allocation
        worker.reportedUsage -= running.lastUsage
        if (running.isPreemptibleForUrgent) worker.preemptible -= running.allocation
        if (running.isStopping) worker.stopping -= running.allocation
        refresh(worker)
        removeIfUnused(worker)
    }

    /** Changes the allocation of [running] after its estimate changed. */
    fun updateAllocation(running: RunningPart, allocation: Resources) {
        val worker = running.worker
        val change = allocation - running.allocation
        running.allocation = allocation
        worker.allocated += change
        if (running.isPreemptibleForUrgent) worker.preemptible += change
        if (running.isStopping) worker.stopping += change
        refresh(worker)
    }

    /** Updates the indexes after the free capacity of a worker changed. */
    fun refresh(worker: WorkerState) {
        if (!worker.accepting) return removeFromIndexes(worker)
        val free = worker.free
        indexOf(worker).put(worker)
        reclaimable.put(worker.slot, free + worker.preemptible)
        if (worker.reservations.isEmpty()) spare.remove(worker.slot) else spare.put(worker.slot, worker.unallocated)
        if (!free.fitsIn(worker.indexedFree)) freedWorkers.add(worker)
        worker.indexedFree = free
    }

    /** Returns the accepting worker with the lowest score that fits [size], or null. */
    fun bestFit(size: Resources, scoreOf: (WorkerState) -> Long): WorkerState? {
        if (size.accelerators == 0L) plain.bestFit(size, scoreOf)?.let { return it }
        return accelerated.bestFit(size, scoreOf)
    }

    /** True if [parts] parts of [size] fit at the same time. */
    fun fitTogether(size: Resources, parts: Int): Boolean {
        val onPlain = if (size.accelerators == 0L) plain.countFitting(size, parts) else 0
        return onPlain == parts || onPlain + accelerated.countFitting(size, parts - onPlain) == parts
    }

    /** Workers that fit [size] once all parts that urgent work may preempt have ended; least capacity first. */
    fun reclaimableFor(size: Resources): List<WorkerState> {
        val found = reclaimable.collectFitting(size, slots)
        return List(found) { bySlot[slots[it]] }
    }

    /** Workers with reservations whose unallocated capacity fits [size]. */
    fun reservedWorkersFor(size: Resources): List<WorkerState> {
        val found = spare.collectFitting(size, slots)
        return List(found) { bySlot[slots[it]] }
    }

    /** Up to [count] workers with the most free processors that fit [size] when no parts run there. */
    fun withMostFreeProcessors(size: Resources, count: Int): List<WorkerState> {
        val withAccelerators = accelerated.largest(count)
        val all = if (size.accelerators > 0) withAccelerators else plain.largest(count) + withAccelerators
        return all.filter { size.fitsIn(it.capacity - it.reserved) }.take(count)
    }

    /** True if [parts] parts of [size] fit on the empty fleet; also true while no worker is known. */
    fun fitsEmptyFleet(size: Resources, parts: Int): Boolean = fleet.fits(size, parts)

    fun sizeClassOf(size: Resources): Int = fleet.sizeClassOf(size)

    private fun indexOf(worker: WorkerState): WorkerIndex = if (worker.capacity.accelerators > 0) accelerated else plain

    private fun removeFromIndexes(worker: WorkerState) {
        plain.remove(worker)
        accelerated.remove(worker)
        reclaimable.remove(worker.slot)
        spare.remove(worker.slot)
        freedWorkers.remove(worker)
        worker.indexedFree = Resources.NONE
    }

    private fun removeIfUnused(worker: WorkerState) {
        if (!worker.removed || worker.parts.isNotEmpty()) return
        if (byId.remove(worker.workerId) != null) unusedSlots.addLast(worker.slot)
    }

    private companion object {
        /** Workers examined for one preemption; more make urgent decisions slower without better choices. */
        const val MAX_RECLAIM_CANDIDATES = 24
    }
}
