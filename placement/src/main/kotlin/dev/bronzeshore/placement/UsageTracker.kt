/** Applies usage reports: charges follow the estimates, and an overused worker loses its least urgent work. */
package dev.bronzeshore.placement

import dev.bronzeshore.core.Resources

internal class UsageTracker(private val workers: WorkerTable, private val preemptions: PreemptionPlanner) {
    fun report(running: RunningPart, used: Resources) {
        val room = running.worker
        room.seen += used - running.seenLast
        running.seenLast = used
        running.seenPeak = UsageEstimator.peakOf(running.seenPeak, used)
        running.reportCount++
        val charge = UsageEstimator.chargeOf(running)
        if (charge != running.charge) workers.recharge(running, charge)
        relieve(room)
    }

    /** Tells the least urgent parts of an overcharged worker to leave when the seen use is near its capacity. */
    private fun relieve(room: WorkerRoom) {
        if (room.capacity == Resources.NONE || room.charged.fitsIn(room.capacity)) return
        if (isFine(room.seen, room.capacity)) return
        val excess = Resources(
            maxOf(0, room.charged.processorsMillicores - room.capacity.processorsMillicores),
            maxOf(0, room.charged.memoryBytes - room.capacity.memoryBytes),
        )
        preemptions.choose(room, excess, room.stopping) { !it.job.isImportant }?.let { preemptions.order(it) }
    }

    private fun isFine(seen: Resources, capacity: Resources): Boolean =
        seen.processorsMillicores <= capacity.processorsMillicores / PERCENT * NEAR_PERCENT &&
            seen.memoryBytes <= capacity.memoryBytes / PERCENT * NEAR_PERCENT

    private companion object {
        const val PERCENT = 100

        /** Reports lag by a few seconds; the rest is room for what grows in the meantime. */
        const val NEAR_PERCENT = 95
    }
}
