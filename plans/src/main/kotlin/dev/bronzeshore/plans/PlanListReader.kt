/** Reads the operators' list of plans. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.NonEmptyList
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.Serializable

/** Content of `plans.json`. */
@Serializable
public data class PlanList(public val plans: List<Plan>)

/** Reads `plans.json` and reports all of its faults. */
public class PlanListReader {
    private val reader = DocumentReader(PlanList.serializer(), RULES, ::checkUniqueness)

    /** Reads [text], the content of [file]. */
    public fun read(file: String, text: String): Either<NonEmptyList<Fault>, List<Plan>> =
        reader.read(file, text).map { it.plans }

    /** Applies the same rules to plans that arrived over the network. */
    public fun validate(source: String, plans: List<Plan>): Either<NonEmptyList<Fault>, List<Plan>> =
        reader.validate(source, PlanList(plans)).map { it.plans }

    private fun checkUniqueness(document: Document) {
        val plans = document.root.field("plans").items()
        document.reportDuplicateValues(
            "plan name",
            plans.mapIndexed { i, plan -> UniqueValue("plans[$i].name", plan.text("name")) },
        )
        val tokens = plans.mapIndexed { i, plan -> UniqueValue("plans[$i].tokenSha256", plan.text("tokenSha256")) }
        document.reportDuplicateValues("token", tokens, secret = true)
        plans.forEachIndexed { i, plan ->
            val kinds = plan.field("kinds").items()
            val names = kinds.mapIndexed { k, kind -> UniqueValue("plans[$i].kinds[$k].name", kind.text("name")) }
            document.reportDuplicateValues("kind", names)
        }
    }

    private companion object {
        // Far above any useful ratio of two shares, and low enough that sums of weights cannot overflow.
        const val MAX_WEIGHT = 1_000_000L
        val TOKEN_SHA256 = Regex("[0-9a-f]{64}")
        val RULES =
            listOf(
                FieldRule.name("plans[].name"),
                FieldRule(
                    "plans[].tokenSha256",
                    ResultCode.INVALID_VALUE,
                    "the SHA-256 of the token as 64 lower-case hex digits",
                    secret = true,
                ) { TOKEN_SHA256.matches(it.content) },
                FieldRule.name("plans[].kinds[].name"),
                FieldRule.number("plans[].kinds[].weight", 1, MAX_WEIGHT),
                FieldRule.name("plans[].kinds[].service"),
            )
    }
}
