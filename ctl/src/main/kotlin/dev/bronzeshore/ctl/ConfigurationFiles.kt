/** Reads and checks the operators' two configuration files offline. */
package dev.bronzeshore.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Plan
import dev.bronzeshore.plans.AllowanceListReader
import dev.bronzeshore.plans.PlanListReader
import java.nio.file.Path

/** Content of `plans.json` and `allowances.json`. */
internal data class ConfigurationFiles(val plans: List<Plan>, val allowances: List<Allowance>) {
    /** Returns [current] with its plans and allowances replaced by those of these files. */
    fun applyTo(current: Configuration): Configuration = current.copy(plans = plans, allowances = allowances)

    companion object {
        const val DIRECTORY_USAGE = "directory of plans.json and allowances.json; default: the current one"

        fun readDirectory(directory: String): Either<CtlFailure, ConfigurationFiles> {
            val path = Path.of(directory)
            return read(path.resolve("plans.json"), path.resolve("allowances.json"))
        }

        /** Reads both files; a failure lists the faults of both. */
        private fun read(plansFile: Path, allowancesFile: Path): Either<CtlFailure, ConfigurationFiles> = either {
            val plansText = readText(plansFile).bind()
            val allowancesText = readText(allowancesFile).bind()
            val plans = PlanListReader().read(plansFile.toString(), plansText)
            // If the plans have faults, their names are unknown: plan names in allowances are then not checked.
            val planNames = plans.getOrNull()?.map { it.name }?.toSet()
            val allowances = AllowanceListReader(planNames).read(allowancesFile.toString(), allowancesText)
            combine(plans, allowances).bind()
        }

        private fun combine(
            plans: Either<List<Fault>, List<Plan>>,
            allowances: Either<List<Fault>, List<Allowance>>,
        ): Either<CtlFailure, ConfigurationFiles> {
            val faults = plans.leftOrNull().orEmpty() + allowances.leftOrNull().orEmpty()
            return if (faults.isEmpty()) {
                ConfigurationFiles(plans.getOrNull().orEmpty(), allowances.getOrNull().orEmpty()).right()
            } else {
                CtlFailure.refused(faults).left()
            }
        }
    }
}
