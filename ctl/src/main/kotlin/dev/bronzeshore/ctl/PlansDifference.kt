/** Output of `plans diff`. */
package dev.bronzeshore.ctl

import kotlinx.serialization.Serializable

/** The difference between the configuration files and the configuration in force, as printed with `--json`. */
@Serializable
internal data class PlansDifference(val version: Long, val changes: List<String>)
