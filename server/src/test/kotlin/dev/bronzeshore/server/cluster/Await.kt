/** Waiting for conditions in tests, on virtual or real time. */
package dev.bronzeshore.server.cluster

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val POLL_MS = 10L

/** Timeout of waits that specify none. */
internal const val DEFAULT_AWAIT_MS = 10_000L

/** Polls until [condition] holds; false if it does not hold within [withinMs]. */
internal suspend fun holdsWithin(withinMs: Long, condition: () -> Boolean): Boolean = withTimeoutOrNull(withinMs) {
    while (!condition()) delay(POLL_MS)
    true
} ?: false

/** Polls until [condition] holds; throws if it does not hold within [withinMs]. */
internal suspend fun awaitUntil(withinMs: Long = DEFAULT_AWAIT_MS, condition: () -> Boolean) =
    check(holdsWithin(withinMs, condition)) { "The condition does not hold within $withinMs ms." }
