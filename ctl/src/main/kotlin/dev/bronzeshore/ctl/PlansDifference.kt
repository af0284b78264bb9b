/** The difference between files and configuration. */
package dev.bronzeshore.ctl

import kotlinx.serialization.Serializable

/** The difference between files and configuration, as printed with `--json`. */
@Serializable
internal data class PlansDifference(val version: Long, val changes: List<String>)
