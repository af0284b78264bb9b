/** `vm gone`: marks VMs as gone. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.VmMark

internal class VmGone : VmMarkCommand(VmMark.GONE) {
    override val synopsis: String = "vm gone ID..."
    override val summary: String =
        "States that the VMs do not run any more and will not run again. Bronzeshore relies on this when it " +
            "takes over a data centre: make sure that it is true."
}
