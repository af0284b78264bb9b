/** Estimates a worker's clock, which may run up to 2% slow, and tracks when its leases expire. */
package dev.bronzeshore.scheduler

import kotlin.math.max

/** Slowest rate of a worker's clock, relative to the leader's. */
private const val SLOWEST_RATE = 0.98

internal class WorkerClock {
    private var workerMs = 0L
    private var readAtMs = 0L
    private var leaseUntilWorkerMs = 0L
    var isKnown: Boolean = false
        private set

    fun observe(workerClockMs: Long, nowMs: Long) {
        workerMs = workerClockMs
        readAtMs = nowMs
        isKnown = true
    }

    /** The time of the worker's clock if it runs at the normal rate. */
    fun nowOnWorker(nowMs: Long): Long = workerMs + (nowMs - readAtMs)

    /** Records that a request extends the leases on the worker; leases never get shorter. */
    fun extendLease(untilWorkerMs: Long) {
        leaseUntilWorkerMs = max(leaseUntilWorkerMs, untilWorkerMs)
    }

    /** True if all leases that the leader granted have certainly expired. */
    fun isLeaseOver(nowMs: Long): Boolean =
        isKnown && workerMs + (SLOWEST_RATE * (nowMs - readAtMs)).toLong() > leaseUntilWorkerMs
}
