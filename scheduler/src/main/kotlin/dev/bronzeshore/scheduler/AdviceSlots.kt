/**
 * Divides the processes that can call the advice service among long and short calls.
 *
 * The load it answers: dozens of wide jobs whose calls take a second each wait for workers at the same time. Without
 * limits their calls occupy all processes, steps with short calls get no advice, and workers stay idle for them.
 */
package dev.bronzeshore.scheduler

/** Length of an advice call, by which it competes with others for a process. */
internal enum class CallLength(
    /** Part of the processes that calls of this length, and longer ones, may use. */
    val share: Double,
    /** Part that they may use while shorter calls wait; a short call then waits for a short time only. */
    val shareIfShorterWait: Double,
) {
    SHORT(1.0, 1.0),
    LONG(0.75, 0.75),
    VERY_LONG(0.75, 0.6),
    ;

    internal companion object {
        private const val LONG_CALL_MS = 60L
        private const val VERY_LONG_CALL_MS = 400L

        fun of(durationMs: Long): CallLength = when {
            durationMs > VERY_LONG_CALL_MS -> VERY_LONG
            durationMs > LONG_CALL_MS -> LONG
            else -> SHORT
        }
    }
}

/** The calls in flight; [clients] is the number of processes that can be used now. */
internal class AdviceSlots(
    private val clients: Int,
    inFlight: Collection<CallLength>,
    waiting: Collection<CallLength>,
) {
    private val inFlight = inFlight.toMutableList()
    private val shortestWaiting = waiting.minOrNull()

    /** Number of further calls of [length] that may begin. */
    fun freeFor(length: CallLength): Int {
        val isShorterWaiting = shortestWaiting != null && shortestWaiting < length
        val share = if (isShorterWaiting) length.shareIfShorterWait else length.share
        val limit = if (length == CallLength.SHORT) clients else (clients * share).toInt().coerceAtLeast(1)
        return minOf(limit - inFlight.count { it >= length }, clients - inFlight.size).coerceAtLeast(0)
    }

    fun begin(length: CallLength) {
        inFlight += length
    }
}
