/** Limit on retries. */
package dev.bronzeshore.requests

/**
 * Token bucket that allows one retry for every ten successful requests. Used on the control thread only: not
 * thread-safe.
 *
 * Without a limit, retries would multiply the load on endpoints that fail because they are overloaded.
 */
internal class RetryBudget {
    private var tenths = INITIAL_RETRIES * TENTHS_PER_RETRY

    fun recordSuccess() {
        tenths = minOf(tenths + 1, MAX_RETRIES * TENTHS_PER_RETRY)
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    fun tryAcquire(): Boolean {
        if (tenths < TENTHS_PER_RETRY) return false
        tenths -= TENTHS_PER_RETRY
        return true
    }

    private companion object {
        const val TENTHS_PER_RETRY = 10

        /** Allows retries of the first failures after the process has started. */
        const val INITIAL_RETRIES = 3

        /** Limits the retries after a long period without failures. */
        const val MAX_RETRIES = 100
    }
}
