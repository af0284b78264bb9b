/** The endpoints at which one plan's requests to one service may start. */
package dev.bronzeshore.requests

internal data class LaneKey(val service: String, val plan: String)

/** Candidates with a free slot, kept so that adding and removing one takes constant time. */
internal class Lane(val key: LaneKey) {
    private val free = ArrayList<HeldSlots>()

    /** Endpoints that had a free slot when last updated; deadlines may have passed since. */
    val candidates: List<HeldSlots> get() = free
    var inUse: Int = 0
        private set
    private var peakInUse = 0

    fun changeInUse(change: Int) {
        inUse += change
        peakInUse = maxOf(peakInUse, inUse)
    }

    /** Most slots in use at a time since the last call. */
    fun takePeak(): Int {
        val peak = peakInUse
        peakInUse = inUse
        return peak
    }

    /** Adds or removes [held], whichever its state asks for. */
    fun update(held: HeldSlots, nowMs: Long) {
        val isFree = held.isFree(nowMs)
        if (isFree && held.position < 0) add(held)
        if (!isFree && held.position >= 0) remove(held)
    }

    fun freeSlots(nowMs: Long): Int = free.filter { it.isFree(nowMs) }.sumOf { it.slots - it.inUse }

    private fun add(held: HeldSlots) {
        held.position = free.size
        free.add(held)
    }

    private fun remove(held: HeldSlots) {
        val last = free.removeAt(free.lastIndex)
        if (last !== held) {
            free[held.position] = last
            last.position = held.position
        }
        held.position = -1
    }
}
