/** Settings of one process, read once at start. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ListenAddress
import kotlinx.serialization.Serializable

/** Base URLs of the platform's services. */
@Serializable
public data class PlatformAddresses(public val tableUrl: String, public val vmListUrl: String)

/** Content of the settings file. */
@Serializable
public data class Settings(
    public val processId: String,
    public val dataCentre: String,
    public val region: String,
    public val callers: ListenAddress,
    public val operators: ListenAddress,
    public val peers: ListenAddress,
    public val platform: PlatformAddresses,
    /** SHA-256 of the operators' bearer token, in hexadecimal. */
    public val operatorTokenSha256: String,
    /** Audit rows older than this are deleted. */
    public val auditRetentionDays: Int = 400,
)
