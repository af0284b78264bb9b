/** `plans`: commands for the configuration in force and the operators' files. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

internal class PlansGroup : CommandGroup() {
    @field:Argument(handler = SubCommandHandler::class, metaVar = "COMMAND", usage = "command")
    @field:SubCommands(
        SubCommand(name = "apply", impl = PlansApply::class),
        SubCommand(name = "diff", impl = PlansDiff::class),
        SubCommand(name = "show", impl = PlansShow::class),
        SubCommand(name = "history", impl = PlansHistory::class),
    )
    private var action: Command? = null

    override val selected: Command? get() = action
    override val synopsis: String = "plans"
    override val summary: String = "Shows and changes the plans and allowances in force."
}
