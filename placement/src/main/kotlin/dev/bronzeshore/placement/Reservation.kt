/** Room that is kept on workers for work that is not placed yet. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

/** Why room is kept. */
internal enum class Purpose { URGENT, GANG, SHARE }

/**
 * Room kept for parts of one job: for all parts of a gang, otherwise for one part.
 *
 * [startAtMs] is the stored deadline at which the room is expected to be free; until then backfill may use the room.
 * From [nextCheckMs] on, parts that are still in the way are told to leave.
 */
internal class Reservation(
    val job: JobEntry,
    val purpose: Purpose,
    val startAtMs: Long,
    val sequence: Long,
    var nextCheckMs: Long,
) {
    val holds: ArrayList<Hold> = ArrayList()
}

/** Room kept for [parts] parts on one worker. */
internal class Hold(val reservation: Reservation, val room: WorkerRoom, val parts: Int) {
    val size: Resources = reservation.job.item.size * parts
}
