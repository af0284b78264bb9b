/** The reservation of capacity for a gang that has to wait, and its bounds in time. */
package dev.bronzeshore.scheduler

/** A reservation lasts this many times as long as the gang was expected to wait, or at least [MIN_RESERVATION_MS]. */
private const val RESERVATION_FACTOR = 3
private const val MIN_RESERVATION_MS = 10_000L

/** Pause after a reservation in which its gang could not start; others use all workers meanwhile. */
private const val RESERVATION_PAUSE_MS = 2_500L

/** All times are monotonic. */
internal data class GangReservation(val sinceMs: Long, val startAtMs: Long, val untilMs: Long)

/**
 * The reservations of one gang, one after another.
 *
 * Reservations are not stored. A leader that takes a gang over therefore begins with the pause, so that changes of the
 * leader do not add up to a reservation without a pause.
 */
internal class GangReservations(private val job: TrackedJob) {
    var current: GangReservation? = null
        private set
    private var pausedUntilMs = job.knownAtMs + job.ageWhenKnownMs.coerceAtMost(RESERVATION_PAUSE_MS)

    /**
     * Begins a reservation for a gang that is expected to start at [startAtMs], or goes on with the current one. Null
     * during a pause.
     */
    fun renew(now: Long, startAtMs: Long): GangReservation? {
        current?.let {
            if (now < it.untilMs) return it
            end()
            pausedUntilMs = now + RESERVATION_PAUSE_MS
        }
        if (now < pausedUntilMs) return null
        val durationMs = maxOf(MIN_RESERVATION_MS, RESERVATION_FACTOR * (startAtMs - now))
        return GangReservation(now, startAtMs, now + durationMs).also { current = it }
    }

    /** The gang has started, or nothing can be kept for it. */
    fun end() {
        current = null
    }
}
