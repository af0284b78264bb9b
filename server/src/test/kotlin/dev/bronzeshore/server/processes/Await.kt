/** Waits on conditions. */
package dev.bronzeshore.server.processes

import java.util.concurrent.locks.LockSupport

private const val POLL_NANOS = 20_000_000L

/** Checks [condition] until it holds; fails with [what] after [timeoutMs]. Returns the time that passed. */
internal fun awaitUntil(what: String, timeoutMs: Long, condition: () -> Boolean): Long {
    val startedAtMs = System.currentTimeMillis()
    while (!condition()) {
        check(System.currentTimeMillis() - startedAtMs < timeoutMs) { "Not within $timeoutMs ms: $what." }
        LockSupport.parkNanos(POLL_NANOS)
    }
    return System.currentTimeMillis() - startedAtMs
}
