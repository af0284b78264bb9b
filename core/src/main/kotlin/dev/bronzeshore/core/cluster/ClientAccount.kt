/** Client accounts: whose keys open the queues, and what an account may use of the workers. */
package dev.bronzeshore.core.cluster

import dev.bronzeshore.core.Resources
import java.security.MessageDigest
import java.util.HexFormat

/** A client account. */
public data class ClientAccount(
    public val name: String,
    /** Most that may run for the account at the same time; a resource without a limit is [UNLIMITED]. */
    public val limit: Resources,
    /** Submissions in a second that the account may rely on, and its share when the workers are full. */
    public val weight: Double,
) {
    public companion object {
        /** Amount of a resource that is not limited. */
        public const val UNLIMITED: Long = Long.MAX_VALUE
    }
}

/** Digest of an account's key; keys themselves are not kept, so that no log or dump shows them. */
@JvmInline
public value class KeyDigest private constructor(private val hex: String) {
    public companion object {
        public fun of(key: String): KeyDigest =
            KeyDigest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray())))
    }
}

/** The client accounts of one version of the configuration. Immutable. */
public class ClientAccounts(accountsByKey: Map<KeyDigest, ClientAccount>) {
    private val byKey = accountsByKey.toMap()
    private val byName = accountsByKey.values.associateBy { it.name }

    /** The account of [key], or null; the time of a lookup depends on the key's digest only. */
    public fun ofKey(key: String): ClientAccount? = byKey[KeyDigest.of(key)]

    public fun named(name: String): ClientAccount? = byName[name]

    public val all: Collection<ClientAccount> get() = byName.values
}

/** Whether a call to a queue is served. */
public sealed interface AccessDecision {
    /** The call is served for [account]; null on a queue that is open to all, or without accounts. */
    public data class Granted(public val account: String?) : AccessDecision

    /** The key is missing, or no account has it. */
    public data object UnknownKey : AccessDecision

    /** This process cannot tell whether the key is still valid; another one may. */
    public data class Unproven(public val retryAfterMs: Long) : AccessDecision
}
