/** A bronzeshore process as its peers see it. */
package dev.bronzeshore.ownership

import kotlinx.serialization.Serializable

/**
 * One process.
 *
 * [processId] must be unique per start of a process: a restarted process does not remember the promises that it made,
 * so its peers must not take it for the earlier one.
 */
@Serializable
public data class Member(
    public val processId: String,
    public val dataCentre: String,
    public val region: String,
    public val address: String,
)
