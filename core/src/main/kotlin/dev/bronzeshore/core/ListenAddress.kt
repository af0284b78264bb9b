/** Addresses that a process listens on. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** An address to listen on; port 0 lets the system choose. */
@Serializable
public data class ListenAddress(public val host: String, public val port: Int)
