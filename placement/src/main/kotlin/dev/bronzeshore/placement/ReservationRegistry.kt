/** All reservations and the capacity that they reserve. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import java.util.TreeSet

internal class ReservationRegistry(private val workers: WorkerRegistry, private val queue: WorkQueue) {
    private val byCheck: TreeSet<Reservation> =
        TreeSet(compareBy<Reservation> { it.nextCheckMs }.thenBy { it.sequence })
    private var nextSequence = 0L

    /** Opens a reservation without capacity; [reserve] adds it. */
    fun open(job: JobEntry, purpose: ReservationPurpose, startAtMs: Long, nextCheckMs: Long = startAtMs): Reservation {
        val reservation = Reservation(job, purpose, startAtMs, nextSequence++, nextCheckMs)
        byCheck.add(reservation)
        job.reservations.add(reservation)
        job.kindQueue.plan.reservations.add(reservation)
        if (job.isGang) job.kindQueue.plan.reservedGang = job
        if (purpose == ReservationPurpose.SHARE) job.kindQueue.shareReservations++
        if (purpose == ReservationPurpose.URGENT) job.kindQueue.timeCriticalReservations++
        return reservation
    }

    fun reserve(reservation: Reservation, worker: WorkerState, parts: Int) {
        val workerReservation = WorkerReservation(reservation, worker, parts)
        reservation.workerReservations.add(workerReservation)
        reservation.job.kindQueue.reserved += workerReservation.size
        reservation.job.kindQueue.plan.reserved += workerReservation.size
        worker.reservations.add(workerReservation)
        worker.reserved += workerReservation.size
        workers.refresh(worker)
    }

    fun remove(reservation: Reservation) {
        if (!byCheck.remove(reservation)) return
        val job = reservation.job
        job.reservations.remove(reservation)
        job.kindQueue.plan.reservations.remove(reservation)
        if (job.kindQueue.plan.reservedGang === job) job.kindQueue.plan.reservedGang = null
        if (reservation.purpose == ReservationPurpose.SHARE) job.kindQueue.shareReservations--
        if (reservation.purpose == ReservationPurpose.URGENT) job.kindQueue.timeCriticalReservations--
        for (workerReservation in reservation.workerReservations) {
            job.kindQueue.reserved -= workerReservation.size
            job.kindQueue.plan.reserved -= workerReservation.size
            workerReservation.worker.reservations.remove(workerReservation)
            workerReservation.worker.reserved -= workerReservation.size
            workers.refresh(workerReservation.worker)
        }
        queue.retryAtLimit(job.kindQueue.plan)
    }

    /** Reservations whose next check is due. */
    fun due(nowMs: Long): List<Reservation> {
        if (byCheck.isEmpty() || byCheck.first().nextCheckMs > nowMs) return emptyList()
        return byCheck.takeWhile { it.nextCheckMs <= nowMs }
    }

    fun rescheduleCheck(reservation: Reservation, atMs: Long) {
        if (!byCheck.remove(reservation)) return
        reservation.nextCheckMs = atMs
        byCheck.add(reservation)
    }

    /** Lets reservations that wait for the limit of [plan] be served after its usage went down. */
    fun retryAtLimit(plan: PlanState) {
        for (reservation in plan.reservations) {
            if (!isCapacityFree(reservation) || !plan.allows(reservation.job.item.size)) continue
            reservation.workerReservations.firstOrNull()?.let { workers.freedWorkers.add(it.worker) }
        }
    }

    /** Removes all reservations with capacity on [worker], which no longer accepts work. */
    fun removeAllOn(worker: WorkerState): Unit =
        worker.reservations.map { it.reservation }.distinct().forEach { remove(it) }

    fun removeAllOf(job: JobEntry): Unit = job.reservations.toList().forEach { remove(it) }

    /** Removes reservations that the pending parts of [job] no longer need, newest first. */
    fun trim(job: JobEntry) {
        if (job.isGang && job.pending.isNotEmpty()) return
        while (job.reservations.size > job.pending.size) remove(job.reservations.last())
    }

    /** True if all reserved capacity is free now, excluding capacity of older reservations. */
    fun isCapacityFree(reservation: Reservation): Boolean = reservation.workerReservations.all { workerReservation ->
        workerReservation.worker.accepting && workerReservation.size.fitsIn(availableTo(workerReservation))
    }

    /** Unallocated capacity on the worker of [workerReservation] that no older reservation has. */
    fun availableTo(workerReservation: WorkerReservation): Resources {
        var available = workerReservation.worker.unallocated
        for (other in workerReservation.worker.reservations) {
            if (other === workerReservation) break
            available -= other.size
        }
        return available
    }
}
