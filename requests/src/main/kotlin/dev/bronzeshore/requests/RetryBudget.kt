/** Limit on repeated attempts. */
package dev.bronzeshore.requests

/**
 * Token bucket that allows one retry for every ten successes. Control state: not thread-safe.
 *
 * Without a limit, retries would multiply the load on endpoints that are failing because of load.
 */
internal class RetryBudget {
    private var tenths = INITIAL_RETRIES * TENTHS_PER_RETRY

    fun recordSuccess() {
        tenths = minOf(tenths + 1, MAX_RETRIES * TENTHS_PER_RETRY)
    }

    /** Takes a retry from the budget if there is one. */
    fun tryAcquire(): Boolean {
        if (tenths < TENTHS_PER_RETRY) return false
        tenths -= TENTHS_PER_RETRY
        return true
    }

    private companion object {
        const val TENTHS_PER_RETRY = 10

        /** Lets the first failures after a start be retried. */
        const val INITIAL_RETRIES = 3

        /** Bounds the retries after a long time without failures. */
        const val MAX_RETRIES = 100
    }
}
