/** `vm join`: marks VMs as joining. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.VmMark

internal class VmJoin : VmMarkCommand(VmMark.JOINING) {
    override val synopsis: String = "vm join ID..."
    override val summary: String =
        "Marks VMs as joining: they take work as soon as the platform lists them, or at once if their description is " +
            "known. Also takes back the marks \"leaving\" and \"gone\"."
}
