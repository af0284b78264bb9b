/** Waiting for conditions in tests. */
package dev.bronzeshore.server.processes

import java.util.concurrent.locks.LockSupport

private const val POLL_NANOS = 20_000_000L

/** Polls [condition] until it holds and returns the elapsed time; fails with [what] after [timeoutMs]. */
internal fun awaitUntil(what: String, timeoutMs: Long, condition: () -> Boolean): Long {
    val startedAtMs = System.currentTimeMillis()
    while (!condition()) {
        check(System.currentTimeMillis() - startedAtMs < timeoutMs) { "Not within $timeoutMs ms: $what." }
        LockSupport.parkNanos(POLL_NANOS)
    }
    return System.currentTimeMillis() - startedAtMs
}
