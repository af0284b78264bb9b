/** Slots that this process holds for one plan's requests to one service. */
package dev.bronzeshore.requests

internal data class ServicePlanKey(val service: String, val plan: String)

/** Totals over all endpoints, and those with a free slot, which are added and removed in constant time. */
internal class ServicePlanSlots(val key: ServicePlanKey) {
    private val open = ArrayList<HeldSlots>()

    /** Endpoints that had a free slot when last updated; their deadlines may have passed since. */
    val candidates: List<HeldSlots> get() = open
    var inUse: Int = 0
        private set

    /** Number of slots granted at all endpoints. */
    var granted: Int = 0
        private set

    /** Number of granted slots that are not in use, including those whose deadline has passed. */
    var free: Int = 0
        private set
    private var windowStartMs = Long.MIN_VALUE / 2
    private var peakInUse = 0
    private var previousPeakInUse = 0

    fun changeInUse(held: HeldSlots, change: Int, nowMs: Long) {
        rotatePeakWindow(nowMs)
        free -= held.unused
        held.inUse += change
        free += held.unused
        inUse += change
        peakInUse = maxOf(peakInUse, inUse)
    }

    fun setSlots(held: HeldSlots, slots: Int) {
        free -= held.unused
        granted += slots - held.slots
        held.slots = slots
        free += held.unused
    }

    /** Maximum number of slots in use at a time during the last one to two windows. */
    fun peakInUse(nowMs: Long): Int {
        rotatePeakWindow(nowMs)
        return maxOf(peakInUse, previousPeakInUse)
    }

    private fun rotatePeakWindow(nowMs: Long) {
        if (nowMs - PEAK_WINDOW_MS < windowStartMs) return
        previousPeakInUse = if (nowMs - 2 * PEAK_WINDOW_MS < windowStartMs) peakInUse else inUse
        peakInUse = inUse
        windowStartMs = nowMs
    }

    /** Adds [held] to the candidates or removes it, depending on whether it has a free slot. */
    fun updateCandidate(held: HeldSlots, nowMs: Long) {
        val hasFreeSlot = held.hasFreeSlot(nowMs)
        if (hasFreeSlot && held.candidateIndex < 0) add(held)
        if (!hasFreeSlot && held.candidateIndex >= 0) remove(held)
    }

    private fun add(held: HeldSlots) {
        held.candidateIndex = open.size
        open.add(held)
    }

    private fun remove(held: HeldSlots) {
        val last = open.removeAt(open.lastIndex)
        if (last !== held) {
            open[held.candidateIndex] = last
            last.candidateIndex = held.candidateIndex
        }
        held.candidateIndex = -1
    }

    private companion object {
        /** The interval between two periodic requests for slots. */
        const val PEAK_WINDOW_MS = 1_000L
    }
}
