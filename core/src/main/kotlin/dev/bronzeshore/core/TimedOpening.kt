/** Opening of connections with a time limit. */
package dev.bronzeshore.core

import kotlinx.coroutines.withTimeout

/**
 * The resource that [open] returns; fails like [withTimeout] after [timeoutMs].
 *
 * [withTimeout] discards its result if the caller is cancelled, or the time ends, while [open] completes; this function
 * then closes the resource.
 */
public suspend fun <T : AutoCloseable> openWithin(timeoutMs: Long, open: suspend () -> T): T {
    var unclaimed: T? = null
    try {
        return withTimeout(timeoutMs) { open().also { unclaimed = it } }.also { unclaimed = null }
    } finally {
        unclaimed?.close()
    }
}
