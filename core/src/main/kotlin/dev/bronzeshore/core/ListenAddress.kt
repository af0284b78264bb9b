/** Addresses that a process listens on. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

/** With port 0 the operating system chooses a free port. */
@Serializable
public data class ListenAddress(public val host: String, public val port: Int)
