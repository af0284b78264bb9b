/** Choice of the endpoint for the next request. */
package dev.bronzeshore.requests

import kotlin.random.Random

/**
 * Chooses the candidate with the lowest expected completion time.
 *
 * Above [SCAN_LIMIT] candidates two random ones are compared: the cost stays constant, and processes with the same view
 * do not all pick the same endpoint.
 */
internal class SlotChooser(
    private val random: Random,
    private val expectedMs: (endpointId: String) -> Double,
    private val inUseAt: (endpointId: String) -> Int,
) {
    fun choose(candidates: List<HeldSlots>): HeldSlots {
        if (candidates.size <= SCAN_LIMIT) return candidates.minBy { completionMs(it) }
        val first = random.nextInt(candidates.size)
        // Skips the first candidate, so that the two always differ.
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
