package dev.bronzeshore.plans

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.WorkKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.security.MessageDigest
import java.util.HexFormat

/** Guards against changes that are not reported to the operator, and tokens that give access to the wrong plan. */
class ConfigurationDifferTest {
    private val roster = WorkKind("roster", Policy.GANG)
    private val sheets = WorkKind("printSheet", Policy.BATCH, 2)
    private val plan = Plan("utility", sha256("one"), listOf(roster, sheets))
    private val allowance = Allowance("utility", "a", Resources(1_000, 2))
    private val base = Configuration(1, listOf(plan), listOf(allowance), listOf(MarkedVm("v", VmMark.JOINING)))

    @Test
    fun `differences are listed one by one`() {
        val cases =
            listOf(
                base.copy(version = 9, plans = listOf(plan.copy(kinds = listOf(sheets, roster)))) to emptyList(),
                base.copy(plans = listOf(plan.copy(tokenSha256 = sha256("two")))) to
                    listOf("plan utility: token changed"),
                base.copy(plans = listOf(plan.copy(kinds = listOf(sheets.copy(weight = 3))))) to
                    listOf("plan utility: kind printSheet: weight 2 -> 3", "plan utility: kind roster removed"),
                base.copy(plans = emptyList(), allowances = emptyList()) to
                    listOf("plan utility removed", "allowance of utility in a removed"),
                base.copy(allowances = listOf(allowance.copy(limit = Resources(5, 2), slots = 4))) to
                    listOf(
                        "allowance of utility in a: limit.processorsMillicores 1000 -> 5",
                        "allowance of utility in a: slots 0 -> 4",
                    ),
                base.copy(marks = emptyList()) to listOf("VM v: mark JOINING removed"),
                base.copy(marks = listOf(MarkedVm("v", VmMark.GONE), MarkedVm("w", VmMark.LEAVING))) to
                    listOf("VM v: mark JOINING -> GONE", "VM w: mark LEAVING set"),
            )
        for ((after, expected) in cases) {
            assertEquals(expected, ConfigurationDiffer.describe(base, after))
        }
    }

    @Test
    fun `changed items are only those that differ`() {
        val other = plan.copy(name = "other", kinds = emptyList())
        val after = base.copy(version = 2, plans = listOf(other, plan.copy(kinds = listOf(sheets, roster))))
        assertEquals(Configuration(2, listOf(other)), ConfigurationDiffer.changedItems(after, base))
        assertEquals(Configuration(1), ConfigurationDiffer.changedItems(base, after))
    }

    @Test
    fun `a token gives access to its own plan only`() {
        val planWithInvalidHash = Plan("broken", "xyz", emptyList())
        val authenticator = Authenticator(
            listOf(planWithInvalidHash, plan, plan.copy(name = "other", tokenSha256 = sha256("two"))),
        )
        val cases = mapOf("one" to "utility", "two" to "other", "" to null, "xyz" to null, sha256("one") to null)
        for ((token, expected) in cases) {
            assertEquals(expected, authenticator.planOf(token)?.name)
        }
    }

    private fun sha256(token: String) =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(token.toByteArray()))
}
