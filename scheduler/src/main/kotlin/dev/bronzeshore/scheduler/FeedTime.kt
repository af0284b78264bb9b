/**
 * Moments of reading a change feed, by which the leader tells how old an entry is at most.
 *
 * The monotonic clock of the leader stands still while its machine is suspended, and a call may wait for its answer.
 * Therefore an age is the larger one of the differences of two clocks, that of the leader and that of the store.
 */
package dev.bronzeshore.scheduler

/** [monotonicMs] is of the leader's clock, [storeMs] of the store's; it is null if the store did not tell its time. */
internal data class FeedTime(val monotonicMs: Long, val storeMs: Long?)

/** A page of changes that were made after [writtenAfter], which is null if that is not known, and before [readAt]. */
internal class FeedRead(val writtenAfter: FeedTime?, private val readAt: FeedTime) {
    /** Longest time from [moment] until a change of this page; null if it is not known by both clocks. */
    fun ageMs(moment: FeedTime?): Long? {
        if (moment?.storeMs == null || readAt.storeMs == null) return null
        return maxOf(readAt.monotonicMs - moment.monotonicMs, readAt.storeMs - moment.storeMs)
    }
}
