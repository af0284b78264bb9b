/** Worker capacity reserved for work that is not placed yet. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

internal enum class ReservationPurpose { URGENT, GANG, SHARE }

/**
 * Capacity reserved for one job: for all pending parts of a gang, otherwise for one part.
 *
 * [startAtMs] is when the capacity is expected to be free; until then backfill may use it. At [nextCheckMs], parts that
 * still occupy it are preempted.
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

/** Portion of [reservation] on one worker, for [parts] parts. */
internal class WorkerReservation(val reservation: Reservation, val worker: WorkerState, val parts: Int) {
    val size: Resources = reservation.job.item.size * parts
}
