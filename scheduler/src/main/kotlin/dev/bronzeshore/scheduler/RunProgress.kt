/**
 * Progress of a run as its worker reports it.
 *
 * Whether a run stands still is judged by the worker's clock in its reports. The leader's own time says nothing: after
 * a pause of the leader, or while a report is late, it has moved on without news of a run that goes on.
 */
package dev.bronzeshore.scheduler

/** Times of a report: when the leader received it, and what the worker's clock showed in it. */
internal data class RunEvidence(val receivedAtMs: Long, val workerClockMs: Long)

/** A rate of progress is worked out only from this many percent, as reports are far apart. */
private const val MIN_PERCENT_FOR_RATE = 5
private const val ALL_PERCENT = 100

internal class RunProgress {
    var percent: Int = 0
        private set

    /** The last report of the run. */
    private var last: RunEvidence? = null

    /** The report in which the progress last increased, or the first one. */
    private var increased: RunEvidence? = null

    /** The first report, and the progress in it, which a run that resumed from a checkpoint has from its start. */
    private var first: RunEvidence? = null
    private var firstPercent = 0

    /** Time on the leader's clock at which [percent] was reported; null before the first report. */
    val increasedAtMs: Long? get() = increased?.receivedAtMs

    /** Records a report; true if the run has advanced. */
    fun observe(reportedPercent: Int, evidence: RunEvidence): Boolean {
        last = evidence
        if (first == null) {
            first = evidence
            firstPercent = reportedPercent
        }
        if (increased != null && reportedPercent <= percent) return false
        increased = evidence
        return (reportedPercent > percent).also { percent = maxOf(percent, reportedPercent) }
    }

    /** Time of the worker's clock that passed without progress, as far as its reports show. */
    fun stalledForMs(): Long {
        val from = increased ?: return 0
        val to = last ?: return 0
        return to.workerClockMs - from.workerClockMs
    }

    /** Time on the leader's clock since the last increase; says only that a report is due. */
    fun silentForMs(nowMs: Long): Long = increased?.let { nowMs - it.receivedAtMs } ?: 0

    /** Time that the rest takes at the rate of the progress so far; null if too little has been reported. */
    fun remainingMsByRate(): Long? {
        val from = first ?: return null
        val to = increased ?: return null
        val advanced = percent - firstPercent
        if (advanced < MIN_PERCENT_FOR_RATE) return null
        return (to.workerClockMs - from.workerClockMs) * (ALL_PERCENT - percent) / advanced
    }
}
