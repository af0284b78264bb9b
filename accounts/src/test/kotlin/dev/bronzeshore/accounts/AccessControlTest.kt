/** Decisions on calls by their keys, with and without a proof that the configuration is recent. */
package dev.bronzeshore.accounts

import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.cluster.AccessDecision
import dev.bronzeshore.core.cluster.ClientAccount
import dev.bronzeshore.core.cluster.ClientAccounts
import dev.bronzeshore.core.cluster.KeyDigest
import dev.bronzeshore.core.cluster.Queue
import dev.bronzeshore.core.cluster.QueueTerms
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

private const val KEY = "key-of-a"

class AccessControlTest {
    private val account = ClientAccount("a", Resources.NONE, 1.0)
    private val accounts = ClientAccounts(mapOf(KeyDigest.of(KEY) to account))

    /** Guards against calls without a valid key that are served, and against keys served from an old configuration. */
    @ParameterizedTest(name = "accounts {0}, public {1}, key {2}, proven {3}: {4}")
    @CsvSource(
        "false, false,         , false, GRANTED to nobody",
        "true,  true,          , false, GRANTED to nobody",
        "true,  false, key-of-a, true,  GRANTED to a",
        "true,  false, key-of-b, true,  UNKNOWN",
        "true,  false, key-of-,  true,  UNKNOWN",
        "true,  false,         , true,  UNKNOWN",
        "true,  false, key-of-a, false, UNPROVEN",
        "true,  false, key-of-b, false, UNPROVEN",
    )
    fun decides(hasAccounts: Boolean, isPublic: Boolean, key: String?, isProven: Boolean, expected: String) {
        val queue = Queue("h", "/", QueueTerms("q", "s", 0, 1, 1.0, 0), isPublic)
        val decision = decideAccess(accounts.takeIf { hasAccounts }, queue, key) { isProven }
        val actual = when (decision) {
            is AccessDecision.Granted -> "GRANTED to ${decision.account ?: "nobody"}"
            is AccessDecision.UnknownKey -> "UNKNOWN"
            is AccessDecision.Unproven -> "UNPROVEN"
        }
        assertEquals(expected, actual)
    }

    /** Guards against keys that show up in logs or dumps of the accounts. */
    @Test
    fun `the text of accounts and digests holds no key`() {
        assertFalse(KEY in "$accounts ${accounts.all} ${KeyDigest.of(KEY)}")
    }
}
