/** VM state after the platform's list and the operators' marks are merged. */
package dev.bronzeshore.membership

import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.VmMark

/** State of a VM after the platform's list and the operators' marks are merged. */
public enum class EffectiveVmState {
    /** Accepts new work. */
    LIVE,

    /** Accepts no new work; work that runs there may finish. */
    LEAVING,

    /** Operators stated that nothing runs there. */
    GONE,
}

/**
 * A VM in [VmView].
 *
 * [retainedUntilMs] is set if the list no longer contains the VM, which is then removed from the view at this time.
 */
public data class MemberVm(
    public val vm: Vm,
    public val effectiveState: EffectiveVmState,
    public val mark: VmMark? = null,
    public val retainedUntilMs: Long? = null,
) {
    /** True if the VM may be given new work. */
    public val accepting: Boolean get() = effectiveState == EffectiveVmState.LIVE
}
