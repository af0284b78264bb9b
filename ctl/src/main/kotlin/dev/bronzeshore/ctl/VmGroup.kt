/** `vm`: commands that mark and list VMs. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

internal class VmGroup : CommandGroup() {
    @field:Argument(handler = SubCommandHandler::class, metaVar = "COMMAND", usage = "command")
    @field:SubCommands(
        SubCommand(name = "join", impl = VmJoin::class),
        SubCommand(name = "leave", impl = VmLeave::class),
        SubCommand(name = "gone", impl = VmGone::class),
        SubCommand(name = "list", impl = VmList::class),
    )
    private var action: Command? = null

    override val selected: Command? get() = action
    override val synopsis: String = "vm"
    override val summary: String = "Marks VMs as joining, leaving or gone, and lists them."
}
