/** Reads the operators' list of allowances. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.NonEmptyList
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Content of `allowances.json`. */
@Serializable
public data class AllowanceList(public val allowances: List<Allowance>)

/**
 * Reads `allowances.json` and reports all of its faults.
 *
 * [planNames] are the plans that an allowance may name; null if they are not known, which allows checking the list
 * without a list of plans.
 */
public class AllowanceListReader(private val planNames: Set<String>?) {
    private val reader = DocumentReader(AllowanceList.serializer(), RULES, ::checkDocument)

    /** Reads [text], the content of [file]. */
    public fun read(file: String, text: String): Either<NonEmptyList<Fault>, List<Allowance>> =
        reader.read(file, text).map { it.allowances }

    /** Applies the same rules to allowances that arrived over the network. */
    public fun validate(source: String, allowances: List<Allowance>): Either<NonEmptyList<Fault>, List<Allowance>> =
        reader.validate(source, AllowanceList(allowances)).map { it.allowances }

    private fun checkDocument(document: Document) {
        val allowances = document.root.field("allowances").items()
        checkPlans(document, allowances)
        val targets =
            allowances.mapIndexed { i, allowance ->
                val plan = allowance.text("plan")
                val dataCentre = allowance.text("dataCentre")
                UniqueValue("allowances[$i]", if (plan == null || dataCentre == null) null else "$plan in $dataCentre")
            }
        document.reportDuplicateValues("allowance of", targets)
        for (resourceField in RESOURCE_FIELDS) {
            checkTotal(document, allowances, resourceField)
        }
    }

    private fun checkPlans(document: Document, allowances: List<JsonElement>) {
        val known = planNames ?: return
        allowances.forEachIndexed { i, allowance ->
            val plan = allowance.text("plan")
            if (plan != null && plan !in known) {
                val accepted = if (known.isEmpty()) "no plan is listed" else "one of ${known.sorted().joinToString()}"
                val message = "The plan \"$plan\" is not in the list of plans."
                document.report(ResultCode.UNKNOWN_PLAN, "allowances[$i].plan", message, accepted)
            }
        }
    }

    // Placement sums allowances with exact arithmetic, so a sum that overflows must be refused.
    private fun checkTotal(document: Document, allowances: List<JsonElement>, resourceField: String) {
        var sum = 0L
        allowances.forEachIndexed { i, allowance ->
            val amount = allowance.field("limit").number(resourceField)?.takeIf { it >= 0 } ?: 0
            if (sum > Long.MAX_VALUE - amount) {
                val message = "The sum of \"$resourceField\" over all allowances overflows."
                val accepted = "a sum of at most ${Long.MAX_VALUE}"
                document.report(ResultCode.INVALID_SIZE, "allowances[$i].limit.$resourceField", message, accepted)
                return
            }
            sum += amount
        }
    }

    private companion object {
        const val MAX_WEIGHT = 1_000_000L
        val RESOURCE_FIELDS = listOf("processorsMillicores", "memoryBytes", "accelerators")
        val RULES =
            RESOURCE_FIELDS.map { FieldRule.number("allowances[].limit.$it", 0, Long.MAX_VALUE) } +
                listOf(
                    FieldRule.name("allowances[].plan"),
                    FieldRule.name("allowances[].dataCentre"),
                    FieldRule.number("allowances[].slots", 0, Int.MAX_VALUE.toLong()),
                    FieldRule.number("allowances[].weight", 1, MAX_WEIGHT),
                )
    }
}
