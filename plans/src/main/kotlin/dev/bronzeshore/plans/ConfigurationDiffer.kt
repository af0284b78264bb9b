/** Describes the difference between two configurations for operators and the audit log. */
package dev.bronzeshore.plans

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.MarkedVm
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.WorkKind

/** Compares configurations by content, regardless of their versions and of the order of items in lists. */
public object ConfigurationDiffer {
    /** Returns one sentence for each change from [before] to [after]; empty if both have the same content. */
    public fun describe(before: Configuration, after: Configuration): List<String> =
        diff(before.plans, after.plans, Plan::name, ::describePlans) +
            diff(before.allowances, after.allowances, ::target, ::describeAllowances) +
            diff(before.marks, after.marks, MarkedVm::vmId, ::describeMarks)

    /** Returns the items of [configuration] that [other] lacks or has with different content. */
    public fun changedItems(configuration: Configuration, other: Configuration): Configuration = Configuration(
        configuration.version,
        (configuration.plans.map(::sorted) - other.plans.map(::sorted).toSet()),
        (configuration.allowances - other.allowances.toSet()),
        (configuration.marks - other.marks.toSet()),
    )

    private fun <T> diff(
        before: List<T>,
        after: List<T>,
        keyOf: (T) -> String,
        describe: (key: String, old: T?, new: T?) -> List<String>,
    ): List<String> {
        val old = before.associateBy(keyOf)
        val new = after.associateBy(keyOf)
        return (old.keys + new.keys).sorted().flatMap { key -> describe(key, old[key], new[key]) }
    }

    private fun describePlans(name: String, old: Plan?, new: Plan?): List<String> = when {
        old == null -> listOf("plan $name added with ${new?.kinds?.size} kinds") + describeKindsOf(name, old, new)

        new == null -> listOf("plan $name removed")

        else -> {
            val token = if (old.tokenSha256 == new.tokenSha256) emptyList() else listOf("plan $name: token changed")
            token + describeKindsOf(name, old, new)
        }
    }

    private fun describeKindsOf(plan: String, old: Plan?, new: Plan?): List<String> =
        diff(old?.kinds.orEmpty(), new?.kinds.orEmpty(), WorkKind::name) { kind, before, after ->
            ItemDiffer.describe("plan $plan: kind $kind", WorkKind.serializer(), before, after, setOf("name"))
        }

    private fun describeAllowances(target: String, old: Allowance?, new: Allowance?): List<String> =
        ItemDiffer.describe("allowance of $target", Allowance.serializer(), old, new, setOf("plan", "dataCentre"))

    private fun describeMarks(vmId: String, old: MarkedVm?, new: MarkedVm?): List<String> = when {
        old == null -> listOf("VM $vmId: mark ${new?.mark} set")
        new == null -> listOf("VM $vmId: mark ${old.mark} removed")
        old.mark == new.mark -> emptyList()
        else -> listOf("VM $vmId: mark ${old.mark} -> ${new.mark}")
    }

    private fun target(allowance: Allowance): String = "${allowance.plan} in ${allowance.dataCentre}"

    private fun sorted(plan: Plan): Plan = plan.copy(kinds = plan.kinds.sortedBy { it.name })
}
