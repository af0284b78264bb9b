/** All reservations with the room that they keep. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources
import java.util.TreeSet

internal class ReservationBook(private val workers: WorkerTable, private val queue: WorkQueue) {
    private val byCheck: TreeSet<Reservation> =
        TreeSet(compareBy<Reservation> { it.nextCheckMs }.thenBy { it.sequence })
    private var nextSequence = 0L

    /** Opens a reservation without any room; see [keep]. */
    fun open(job: JobEntry, purpose: Purpose, startAtMs: Long, nextCheckMs: Long = startAtMs): Reservation {
        val reservation = Reservation(job, purpose, startAtMs, nextSequence++, nextCheckMs)
        byCheck.add(reservation)
        job.reservations.add(reservation)
        job.kindQueue.plan.reservations.add(reservation)
        if (job.isGang) job.kindQueue.plan.reservedGang = job
        if (purpose == Purpose.SHARE) job.kindQueue.shareReservations++
        if (purpose == Purpose.URGENT) job.kindQueue.pressingReservations++
        return reservation
    }

    fun keep(reservation: Reservation, room: WorkerRoom, parts: Int) {
        val hold = Hold(reservation, room, parts)
        reservation.holds.add(hold)
        reservation.job.kindQueue.reserved += hold.size
        reservation.job.kindQueue.plan.reserved += hold.size
        room.holds.add(hold)
        room.held += hold.size
        workers.refresh(room)
    }

    fun drop(reservation: Reservation) {
        if (!byCheck.remove(reservation)) return
        val job = reservation.job
        job.reservations.remove(reservation)
        job.kindQueue.plan.reservations.remove(reservation)
        if (job.kindQueue.plan.reservedGang === job) job.kindQueue.plan.reservedGang = null
        if (reservation.purpose == Purpose.SHARE) job.kindQueue.shareReservations--
        if (reservation.purpose == Purpose.URGENT) job.kindQueue.pressingReservations--
        for (hold in reservation.holds) {
            job.kindQueue.reserved -= hold.size
            job.kindQueue.plan.reserved -= hold.size
            hold.room.holds.remove(hold)
            hold.room.held -= hold.size
            workers.refresh(hold.room)
        }
        queue.limitFreed(job.kindQueue.plan)
    }

    /** Reservations whose next check has come. */
    fun due(nowMs: Long): List<Reservation> {
        if (byCheck.isEmpty() || byCheck.first().nextCheckMs > nowMs) return emptyList()
        return byCheck.takeWhile { it.nextCheckMs <= nowMs }
    }

    fun checkAgain(reservation: Reservation, atMs: Long) {
        if (!byCheck.remove(reservation)) return
        reservation.nextCheckMs = atMs
        byCheck.add(reservation)
    }

    /** After [plan] uses less: lets reservations that waited for its limit be served. */
    fun headroomFreed(plan: PlanAccount) {
        for (reservation in plan.reservations) {
            if (!isFree(reservation) || !plan.mayAdd(reservation.job.item.size)) continue
            reservation.holds.firstOrNull()?.let { workers.freed.add(it.room) }
        }
    }

    /** Drops all reservations that keep room on [room], after the worker stopped accepting work. */
    fun dropOn(room: WorkerRoom): Unit = room.holds.map { it.reservation }.distinct().forEach { drop(it) }

    fun dropAll(job: JobEntry): Unit = job.reservations.toList().forEach { drop(it) }

    /** Drops reservations beyond what the pending parts of [job] still need, youngest first. */
    fun trim(job: JobEntry) {
        if (job.isGang && job.pending.isNotEmpty()) return
        while (job.reservations.size > job.pending.size) drop(job.reservations.last())
    }

    /** True if all the kept room is free now, not counting room that older reservations wait for. */
    fun isFree(reservation: Reservation): Boolean = reservation.holds.all { hold ->
        hold.room.accepting && hold.size.fitsIn(roomFor(hold))
    }

    /** Room on the worker of [hold] that is free and not kept by older holds. */
    fun roomFor(hold: Hold): Resources {
        var room = hold.room.uncharged
        for (other in hold.room.holds) {
            if (other === hold) break
            room -= other.size
        }
        return room
    }
}
