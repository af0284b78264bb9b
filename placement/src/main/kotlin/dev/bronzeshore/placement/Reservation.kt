/** Room that is kept on workers for work that is not placed yet. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Why room is kept. */
internal enum class ReservationPurpose { URGENT, GANG, SHARE }

/**
 * Room kept for parts of one job: for all parts of a gang, otherwise for one part.
 *
 * [startAtMs] is the stored deadline at which the room is expected to be free; until then backfill may use the room.
 * From [nextCheckMs] on, parts that are still in the way are told to leave.
 */
internal class Reservation(
    val job: JobEntry,
    val purpose: ReservationPurpose,
    val startAtMs: Long,
    val sequence: Long,
    var nextCheckMs: Long,
) {
    val workerReservations: ArrayList<WorkerReservation> = ArrayList()
}

/** Room kept for [parts] parts on one worker. */
internal class WorkerReservation(val reservation: Reservation, val worker: WorkerState, val parts: Int) {
    val size: Resources = reservation.job.item.size * parts
}
