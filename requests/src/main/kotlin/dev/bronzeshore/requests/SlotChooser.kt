/** Selection of the endpoint for the next request. */
package dev.bronzeshore.requests

import kotlin.random.Random

/**
 * Chooses the candidate with the lowest expected completion time.
 *
 * With more than [SCAN_LIMIT] candidates, two random ones are compared (power of two choices): the cost stays constant,
 * and processes with the same information do not all choose the same endpoint.
 */
internal class SlotChooser(
    private val random: Random,
    private val expectedMs: (endpointId: String) -> Double,
    private val inUseAt: (endpointId: String) -> Int,
) {
    fun choose(candidates: List<HeldSlots>): HeldSlots {
        if (candidates.size <= SCAN_LIMIT) return candidates.minBy { completionMs(it) }
        val first = random.nextInt(candidates.size)
        // An offset from the first candidate, so that the two always differ.
        val second = (first + 1 + random.nextInt(candidates.size - 1)) % candidates.size
        return minOf(candidates[first], candidates[second], compareBy { completionMs(it) })
    }

    private fun completionMs(held: HeldSlots): Double {
        val endpointId = held.key.endpointId
        return expectedMs(endpointId) * (inUseAt(endpointId) + 1)
    }

    private companion object {
        const val SCAN_LIMIT = 16
    }
}
