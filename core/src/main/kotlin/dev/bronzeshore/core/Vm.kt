/** VMs as described by the platform's VM list and the operators' marks. */
package dev.bronzeshore.core

import kotlinx.serialization.Serializable

@Serializable
public enum class VmRole { WORKER, ENDPOINT }

@Serializable
public enum class VmState { LIVE, LEAVING }

/**
 * One worker or endpoint VM.
 *
 * [capacity] is set for workers; [service] and [slots] are set for endpoints.
 */
@Serializable
public data class Vm(
    public val id: String,
    public val role: VmRole,
    public val dataCentre: String,
    public val rack: String,
    public val address: String,
    public val state: VmState = VmState.LIVE,
    public val capacity: Resources = Resources.NONE,
    public val service: String? = null,
    public val slots: Int = 0,
)
