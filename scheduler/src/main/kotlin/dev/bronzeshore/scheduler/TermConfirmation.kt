/**
 * Tells which jobs this leader may start, by what it knows for certain about its term.
 *
 * A leader that has been replaced without noticing goes on until a write of its own is refused. It must not start a
 * job that was stored after the takeover, because the next leader starts such jobs at once, without waiting for the
 * workers that a former leader may have used. Therefore a job starts only after a write of this leader, which requires
 * the term, has been confirmed with a later version than the job's row, or was sent after the job became known.
 */
package dev.bronzeshore.scheduler

internal class TermConfirmation(private val termRowVersion: Long, private val renewedAtMs: () -> Long) {
    private var confirmedVersion = termRowVersion
    private var confirmedAtMs = Long.MIN_VALUE

    /** A job is known that may not start before the next confirmed write. */
    var isWanted: Boolean = false
        private set

    /** Records a confirmed write that required the term. */
    fun record(version: Long, sentAtMs: Long) {
        confirmedVersion = maxOf(confirmedVersion, version)
        confirmedAtMs = maxOf(confirmedAtMs, sentAtMs)
        isWanted = false
    }

    /** True if the term was certainly still held after the job was stored. */
    fun covers(job: TrackedJob): Boolean {
        val isCovered = job.storedVersion in 1 until confirmedVersion ||
            maxOf(confirmedAtMs, renewedAtMs()) > job.knownAtMs
        if (!isCovered) isWanted = true
        return isCovered
    }

    /** True if the job was stored after the takeover, so that no former leader has started it. */
    fun isNewerThanTerm(job: TrackedJob): Boolean = job.storedVersion > termRowVersion
}
