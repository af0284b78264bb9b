/** Identity and location of a bronzeshore process. */
package dev.bronzeshore.ownership

import kotlinx.serialization.Serializable

/**
 * A bronzeshore process as its peers see it.
 *
 * [processId] must be unique per start of a process: a restarted process does not know the deputy leases that it
 * granted before, so its peers must not mistake it for the earlier one.
 */
@Serializable
public data class Member(
    public val processId: String,
    public val dataCentre: String,
    public val region: String,
    public val address: String,
)
