/**
 * Decides by the key of a call whether the call is served.
 *
 * Where withdrawals of keys are strict, a key counts only while the configuration is proven recent enough. Without the
 * proof even an unknown key is not refused for good, because a newer configuration may have it.
 */
package dev.bronzeshore.accounts

import dev.bronzeshore.core.cluster.AccessDecision
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.Queue

/** A process gets its next proof within about a second, unless it is cut off; callers then reach other processes. */
private const val UNPROVEN_RETRY_AFTER_MS = 1_000L

/** Decides on a call with [key] to [queue]; [accounts] is null if the configuration has no accounts. */
public fun decideAccess(
    accounts: ClientAccounts?,
    queue: Queue,
    key: String?,
    isConfigProven: () -> Boolean,
): AccessDecision = when {
    accounts == null -> AccessDecision.Granted(account = null)
    queue.isPublic -> AccessDecision.Granted(account = null)
    !isConfigProven() -> AccessDecision.Unproven(UNPROVEN_RETRY_AFTER_MS)
    else -> key?.let { accounts.ofKey(it) }?.let { AccessDecision.Granted(it.name) } ?: AccessDecision.UnknownKey
}
