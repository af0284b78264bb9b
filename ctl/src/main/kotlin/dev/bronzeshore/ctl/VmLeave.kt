/** `vm leave`: marks VMs as leaving. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.VmMark

internal class VmLeave : VmMarkCommand(VmMark.LEAVING) {
    override val synopsis: String = "vm leave ID..."
    override val summary: String = "Marks VMs as leaving: they get no new work, and what runs there may end."
}
