/** Waiting on conditions in tests, on virtual or real time. */
package dev.bronzeshore.server.cluster

import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private const val POLL_MS = 10L

/** Longest wait of a test that states no bound of its own. */
internal const val AWAIT_MS = 10_000L

/** True once [condition] holds, false if it does not hold within [withinMs]. */
internal suspend fun isReached(withinMs: Long, condition: () -> Boolean): Boolean = withTimeoutOrNull(withinMs) {
    while (!condition()) delay(POLL_MS)
    true
} ?: false

/** Fails if [condition] does not hold within [withinMs]. */
internal suspend fun awaitUntil(withinMs: Long = AWAIT_MS, condition: () -> Boolean) =
    check(isReached(withinMs, condition)) { "The condition does not hold within $withinMs ms." }
