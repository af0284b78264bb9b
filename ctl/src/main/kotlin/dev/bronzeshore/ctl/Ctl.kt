/** The command line: finds the command, runs it and turns failures into exit codes. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.Fault
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser

/** bronzeshorectl as a function of its surroundings. */
public class Ctl(private val context: CtlContext) {
    /** Runs one command line and returns how it ended. */
    public suspend fun run(arguments: List<String>): ExitCode {
        val root = RootGroup()
        try {
            CmdLineParser(root).parseArgument(arguments)
        } catch (e: CmdLineException) {
            Help.usageError(e, arguments).forEach(context.printError)
            return ExitCode.USAGE
        }
        val command = innermost(root)
        if (command.help) {
            Help.of(command).forEach(context.printOut)
            return ExitCode.OK
        }
        return command.run(context).fold({ report(command, it) }, { ExitCode.OK })
    }

    private fun innermost(command: Command): Command {
        val selected = (command as? CommandGroup)?.selected
        return if (selected == null || command.help) command else innermost(selected)
    }

    private fun report(command: Command, failure: CtlFailure): ExitCode {
        if (asksForJson(command)) {
            context.printError(OutputJson.encodeToString(ListSerializer(Fault.serializer()), failure.faults))
        } else {
            failure.faults.flatMap(Render::fault).forEach(context.printError)
            if (failure.exitCode == ExitCode.USAGE) {
                context.printError(Help.seeHelp(command))
            }
        }
        return failure.exitCode
    }

    private fun asksForJson(command: Command): Boolean = when (command) {
        is ServerCommand -> command.json
        is CheckCommand -> command.json
        else -> false
    }
}
