/**
 * Tells which jobs this leader may start, and which leases have expired, by what it knows for certain about its term.
 *
 * A leader that has been replaced without noticing goes on until a write of its own is refused. It must not start a
 * job that was stored after the takeover, because the next leader starts such jobs at once, without waiting for the
 * workers that a former leader may have used. Therefore a job starts only if its row is older than the term, or after a
 * write of this leader, which requires the term, was sent after the job became known and has been confirmed. The write
 * may be one to the leader's own partition, or one under its fence in the job's partition. The version in the answer to
 * a write proves nothing: it may be that of a later write of another process.
 *
 * Nor may it take leases for expired that the next leader has renewed. A leader polls workers only once its term is
 * stored and its fences are in place in all intake partitions. Therefore leases have expired if they were over when a
 * confirmed write was sent, to whichever partition.
 */
package dev.bronzeshore.scheduler

import dev.bronzeshore.core.cluster.IntakeRows

/** Earlier than any time; far enough from the smallest number for margins to be subtracted. */
internal const val NEVER_MS = Long.MIN_VALUE / 2

internal class TermConfirmation(
    private val termRowVersion: Long,
    private val renewedAtMs: () -> Long,
    /** Version of the last fence of a former leader in an intake partition. */
    private val formerFenceVersion: (partition: String) -> Long,
) {
    private var journalConfirmedAtMs = Long.MIN_VALUE

    /** For each intake partition, the monotonic time at which the last confirmed write to it was sent. */
    private val partitionConfirmedAtMs = HashMap<String, Long>()

    /** Monotonic time at which the last confirmed write to the leader's partition was sent. */
    private val confirmedAtMs: Long get() = maxOf(journalConfirmedAtMs, renewedAtMs())

    /** A start or the expiry of a lease waits for the next confirmed write. */
    var isWanted: Boolean = false
        private set

    /** Records a confirmed write that required the term. */
    fun record(sentAtMs: Long) {
        journalConfirmedAtMs = maxOf(journalConfirmedAtMs, sentAtMs)
        isWanted = false
    }

    /** Monotonic time at which the last confirmed write to an intake partition was sent; null if there was none. */
    var confirmedInPartitionAtMs: Long? = null
        private set

    /** Records a confirmed write under this leader's fence in an intake partition. */
    fun recordPartition(partition: String, sentAtMs: Long) {
        partitionConfirmedAtMs[partition] = sentAtMs
        confirmedInPartitionAtMs = maxOf(confirmedInPartitionAtMs ?: sentAtMs, sentAtMs)
    }

    /** True if the term was certainly still held after the job was stored. */
    fun covers(job: TrackedJob): Boolean {
        val isCovered = job.storedVersion in 1 until termRowVersion ||
            confirmedAtMs > job.knownAtMs ||
            IntakeRows.partitionsOf(job.id).any { (partitionConfirmedAtMs[it] ?: NEVER_MS) > job.knownAtMs }
        if (!isCovered) isWanted = true
        return isCovered
    }

    /** Monotonic time at which the last confirmed write to any partition was sent: the term was still held then. */
    val heldAtMs: Long get() = maxOf(NEVER_MS, confirmedAtMs, confirmedInPartitionAtMs ?: NEVER_MS)

    /** Monotonic time at which leases were over that the next leader may have renewed. */
    private var expiryAtMs = NEVER_MS

    /** True while the expiry of a lease waits for a confirmed write to any partition. */
    val isExpiryOpen: Boolean get() = heldAtMs < expiryAtMs

    /** True if leases have certainly expired that are over at the times for which [isOverAt] holds. */
    fun haveExpired(nowMs: Long, isOverAt: (Long) -> Boolean): Boolean {
        if (!isOverAt(nowMs)) return false
        if (isOverAt(heldAtMs)) return true
        if (!isExpiryOpen) expiryAtMs = nowMs
        isWanted = true
        return false
    }

    /** True if the job was stored after the takeover, so that no former leader has started it. */
    fun isNewerThanTerm(job: TrackedJob): Boolean =
        job.storedVersion > maxOf(termRowVersion, IntakeRows.partitionsOf(job.id).maxOf(formerFenceVersion))
}
