/** `job`: commands for jobs of any plan. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands

internal class JobGroup : CommandGroup() {
    @field:Argument(handler = SubCommandHandler::class, metaVar = "COMMAND", usage = "command")
    @field:SubCommands(
        SubCommand(name = "submit", impl = JobSubmit::class),
        SubCommand(name = "status", impl = JobStatus::class),
        SubCommand(name = "cancel", impl = JobCancel::class),
        SubCommand(name = "list", impl = JobList::class),
    )
    private var action: Command? = null

    override val selected: Command? get() = action
    override val synopsis: String = "job"
    override val summary: String = "Submits, shows and cancels jobs."

    companion object {
        const val JOB_ID_USAGE = "id of the job"
    }
}
