/** Settings of one process, read once at start. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ListenAddress
import kotlinx.serialization.Serializable

/** Where the platform's services answer. */
@Serializable
public data class PlatformAddresses(public val tableUrl: String, public val vmListUrl: String)

/** The whole of the settings file. */
@Serializable
public data class Settings(
    public val processId: String,
    public val dataCentre: String,
    public val region: String,
    public val callers: ListenAddress,
    public val operators: ListenAddress,
    public val peers: ListenAddress,
    public val platform: PlatformAddresses,
    /** Hex SHA-256 of the operators' bearer token. */
    public val operatorTokenSha256: String,
    /** Audit rows older than this are deleted. */
    public val auditRetentionDays: Int = 400,
)
