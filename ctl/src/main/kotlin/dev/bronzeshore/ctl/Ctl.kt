/** Parses a command line, runs the command and maps failures to exit codes. */
package dev.bronzeshore.ctl

import dev.bronzeshore.core.Fault
import kotlinx.serialization.builtins.ListSerializer
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser

/** The program bronzeshorectl, without access to the environment other than through [context]. */
public class Ctl(private val context: CtlContext) {
    /** Runs one command line and returns its exit code. */
    public suspend fun run(arguments: List<String>): ExitCode {
        val root = RootGroup()
        try {
            CmdLineParser(root).parseArgument(arguments)
        } catch (e: CmdLineException) {
            Help.usageError(e, arguments).forEach(context.printError)
            return ExitCode.USAGE
        }
        val command = selectedCommand(root)
        if (command.help) {
            Help.forCommand(command).forEach(context.printOut)
            return ExitCode.OK
        }
        return command.run(context).fold({ report(command, it) }, { ExitCode.OK })
    }

    private fun selectedCommand(command: Command): Command {
        val selected = (command as? CommandGroup)?.selected
        return if (selected == null || command.help) command else selectedCommand(selected)
    }

    private fun report(command: Command, failure: CtlFailure): ExitCode {
        if (printsJson(command)) {
            context.printError(OutputJson.encodeToString(ListSerializer(Fault.serializer()), failure.faults))
        } else {
            failure.faults.flatMap(TextRenderer::fault).forEach(context.printError)
            if (failure.exitCode == ExitCode.USAGE) {
                context.printError(Help.seeHelp(command))
            }
        }
        return failure.exitCode
    }

    private fun printsJson(command: Command): Boolean = when (command) {
        is ServerCommand -> command.json
        is CheckCommand -> command.json
        else -> false
    }
}
