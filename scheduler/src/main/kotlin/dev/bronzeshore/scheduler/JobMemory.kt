/**
 * Bounds the memory for all jobs that the cluster has accepted and that have not ended.
 *
 * A process may accept jobs up to a share of the free memory without asking, and asks the leader about larger ones.
 * Each takes its own share of what is free, so that both together stay within the bound. The bound does not depend on
 * the leader: what has been accepted fits in the memory of the next one too.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.cluster.MAX_HELD_BYTES

/** Time in which an accepted job is stored and reaches the leader; then its reservation ends. */
private const val RESERVATION_MS = 10_000L

/** Part of the free memory that processes may use without asking; the rest is for reservations. */
private const val ALLOWANCE_PARTS = 4

private data class Reservation(val bytes: Long, val untilMs: Long)

internal class JobMemory(private val jobs: JobRegistry, private val clock: ClockMs) {
    /** In the order of their ends. */
    private val reservations = LinkedHashMap<String, Reservation>()
    private var reservedBytes = 0L

    /** Memory that further jobs may take. */
    val freeBytes: Long
        get() {
            removeExpired()
            return (MAX_HELD_BYTES - jobs.heldBytes - reservedBytes).coerceAtLeast(0)
        }

    /** Memory that the processes may use without asking, all of them together. */
    val allowanceBytes: Long get() = freeBytes / ALLOWANCE_PARTS

    /** Reserves memory for a job that is about to be stored; false if there is not enough. */
    fun reserve(jobId: String, bytes: Long): Boolean {
        if (jobs.find(jobId) != null || jobs.isEnded(jobId)) return true
        release(jobId)
        if (bytes > freeBytes - allowanceBytes) return false
        reservations[jobId] = Reservation(bytes, clock() + RESERVATION_MS)
        reservedBytes += bytes
        return true
    }

    /** Ends the reservation of a job that is known by now, or that was not stored. */
    fun release(jobId: String) {
        reservations.remove(jobId)?.let { reservedBytes -= it.bytes }
    }

    private fun removeExpired() {
        val now = clock()
        while (true) {
            val (jobId, reservation) = reservations.entries.firstOrNull() ?: return
            if (reservation.untilMs > now) return
            release(jobId)
        }
    }
}
