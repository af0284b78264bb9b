/** Checks a configuration that arrived over the network. */
package dev.bronzeshore.plans

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Plan

/** Applies the rules for the operators' files to lists that are already decoded. */
public object ConfigurationValidator {
    /** Fails with a single fault that lists all faults and has the code of the first one. */
    public fun validate(plans: List<Plan>, allowances: List<Allowance>): Either<Fault, Unit> {
        val names = plans.map { it.name }.toSet()
        val faults =
            PlanListReader().validate("request", plans).leftOrNull().orEmpty() +
                AllowanceListReader(names).validate("request", allowances).leftOrNull().orEmpty()
        val first = faults.firstOrNull() ?: return Unit.right()
        if (faults.size == 1) {
            return first.left()
        }
        val all = faults.joinToString(" ") { "[${it.code.number}] ${it.place}: ${it.message}" }
        return first.copy(message = "${faults.size} faults: $all").left()
    }
}
