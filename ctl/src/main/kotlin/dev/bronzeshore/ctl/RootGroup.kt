/** The top-level commands. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

internal class RootGroup : CommandGroup() {
    @field:Argument(handler = SubCommandHandler::class, metaVar = "COMMAND", usage = "command")
    @field:SubCommands(
        SubCommand(name = "plans", impl = PlansGroup::class),
        SubCommand(name = "vm", impl = VmGroup::class),
        SubCommand(name = "job", impl = JobGroup::class),
        SubCommand(name = "why", impl = WhyCommand::class),
        SubCommand(name = "audit", impl = AuditCommand::class),
        SubCommand(name = "status", impl = StatusCommand::class),
        SubCommand(name = "check", impl = CheckCommand::class),
        SubCommand(name = "trace", impl = TraceCommand::class),
    )
    private var action: Command? = null

    override val selected: Command? get() = action
    override val synopsis: String = ""
    override val summary: String = "Operates a bronzeshore cluster scheduler."
}
