/** Estimates from usage reports what a running part needs. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources

/**
 * Allocation rules:
 *
 * * Until [MIN_REPORTS] reports have arrived, a part is allocated its declared size, or its peak usage if that is more.
 * * After that, a batch part is allocated the processors of its peak usage plus a quarter plus 100 millicores, but no
 *   more than the larger of its declared size and its peak usage.
 * * The memory allocation is never below the declared size, because a worker that runs out of memory cannot throttle a
 *   part. Accelerators are always allocated as declared.
 */
internal object UsageEstimator {
    const val MIN_REPORTS: Int = 5
    private const val MARGIN_DIVISOR = 4
    private const val MARGIN_MILLICORES = 100L

    fun allocationFor(running: RunningPart): Resources {
        val declared = running.job.item.size
        val peak = running.peakUsage
        val bound = maxOf(declared.processorsMillicores, peak.processorsMillicores)
        val isEstimated = !running.job.isGang &&
            running.job.item.kind.policy == Policy.BATCH &&
            running.reportCount >= MIN_REPORTS
        val withMargin = peak.processorsMillicores + peak.processorsMillicores / MARGIN_DIVISOR + MARGIN_MILLICORES
        return Resources(
            if (isEstimated) minOf(bound, withMargin) else bound,
            maxOf(declared.memoryBytes, peak.memoryBytes),
            declared.accelerators,
        )
    }

    fun peakOf(peak: Resources, used: Resources): Resources = Resources(
        maxOf(peak.processorsMillicores, used.processorsMillicores),
        maxOf(peak.memoryBytes, used.memoryBytes),
        maxOf(peak.accelerators, used.accelerators),
    )
}
