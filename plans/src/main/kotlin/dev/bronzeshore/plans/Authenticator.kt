/** Finds the plan that a bearer token belongs to. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.Plan
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Looks up tokens by their SHA-256. Immutable and thread-safe: each configuration gets a new authenticator.
 */
public class Authenticator(plans: List<Plan>) {
    private val entries = plans.mapNotNull { plan -> digestOf(plan)?.let { Entry(plan, it) } }

    /** Returns the plan of [token] or null, in a time that does not depend on which plan matches, or how closely. */
    public fun planOf(token: String): Plan? {
        val digest = MessageDigest.getInstance("SHA-256").digest(token.toByteArray())
        var match: Plan? = null
        for (entry in entries) {
            if (MessageDigest.isEqual(entry.digest, digest)) {
                match = entry.plan
            }
        }
        return match
    }

    // The hash comes from a stored row and may be malformed; such a plan matches no token.
    private fun digestOf(plan: Plan): ByteArray? =
        runCatching { HexFormat.of().parseHex(plan.tokenSha256) }.getOrNull()?.takeIf { it.size == DIGEST_BYTES }

    private class Entry(val plan: Plan, val digest: ByteArray)

    private companion object {
        const val DIGEST_BYTES = 32
    }
}
