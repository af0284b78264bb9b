/** Plans and allowances, the two lists that operators keep in version control, and the marks of VMs. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** Scheduling policy of a kind of work. */
@Serializable
public enum class Policy { INTERACTIVE, BATCH, IMPORTANT, GANG }

/** A kind of work that a plan offers; [weight] is its share of the plan's allowance under contention. */
@Serializable
public data class WorkKind(
    public val name: String,
    public val policy: Policy,
    public val weight: Int = 1,
    /** Service whose endpoints answer requests of this kind; null for kinds that run as jobs. */
    public val service: String? = null,
)

/** A customer's plan; [tokenSha256] is the hex SHA-256 of the bearer token, so that lists hold no secret. */
@Serializable
public data class Plan(public val name: String, public val tokenSha256: String, public val kinds: List<WorkKind>)

/** What one plan may use in one data centre: a hard limit for jobs, and endpoint slots for requests. */
@Serializable
public data class Allowance(
    public val plan: String,
    public val dataCentre: String,
    public val limit: Resources,
    public val slots: Int = 0,
    /** Share of contended resources relative to other plans. */
    public val weight: Int = 1,
)

/** Lifecycle mark that an operator sets on a VM. */
@Serializable
public enum class VmMark { JOINING, LEAVING, GONE }

/** A VM mark as stored in the configuration. */
@Serializable
public data class MarkedVm(public val vmId: String, public val mark: VmMark)

/** The active configuration; [version] never decreases. */
@Serializable
public data class Configuration(
    public val version: Long,
    public val plans: List<Plan> = emptyList(),
    public val allowances: List<Allowance> = emptyList(),
    public val marks: List<MarkedVm> = emptyList(),
) {
    public companion object {
        public val EMPTY: Configuration = Configuration(version = 0)
    }
}
