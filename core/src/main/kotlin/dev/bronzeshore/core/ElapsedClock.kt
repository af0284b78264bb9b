/**
 * A clock for periods that must not seem shorter than they were.
 *
 * The monotonic clock stands still while the machine is suspended; the wall clock goes on, but is stepped at times. A
 * lead that the wall clock gains at once counts as a suspension. So a period is never too short, unless the wall clock
 * is set back during a suspension, and it is too long if the wall clock is set forward.
 */
package dev.bronzeshore.core

/** A smaller lead may be due to the time between the two readings; it counts once it has grown to this. */
private const val MIN_SUSPENSION_MS = 50L

/** Milliseconds since some moment, suspensions included; thread-safe. */
public class ElapsedClock(private val monotonic: ClockMs, private val wall: ClockMs) {
    private var leadMs = wall() - monotonic()
    private var suspendedMs = 0L

    @Synchronized
    public fun nowMs(): Long {
        val monotonicMs = monotonic()
        val currentLeadMs = wall() - monotonicMs
        val gainedMs = currentLeadMs - leadMs
        if (gainedMs >= MIN_SUSPENSION_MS) suspendedMs += gainedMs
        if (gainedMs >= MIN_SUSPENSION_MS || gainedMs < 0) leadMs = currentLeadMs
        return monotonicMs + suspendedMs
    }
}
