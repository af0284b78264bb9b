/** A VM as bronzeshore sees it after merging the platform's list with the operators' marks. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmMark

/** Whether a VM is given work. */
public enum class EffectiveVmState {
    /** Takes new work. */
    LIVE,

    /** Takes no new work; what runs there may end. */
    LEAVING,

    /** Nothing runs there, by the operators' statement. */
    GONE,
}

/**
 * A VM of the view.
 *
 * [keptUntilMs] is set for a VM that the list no longer shows: it leaves the view then.
 */
public data class MemberVm(
    public val vm: Vm,
    public val effectiveState: EffectiveVmState,
    public val mark: VmMark? = null,
    public val keptUntilMs: Long? = null,
) {
    /** True if the VM may be given new work. */
    public val accepting: Boolean get() = effectiveState == EffectiveVmState.LIVE
}
