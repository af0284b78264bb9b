/** Help texts and usage errors. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.NamedOptionDef
import org.kohsuke.args4j.ParserProperties
import org.kohsuke.args4j.spi.OptionHandler
import java.io.StringWriter

/** Builds help texts from the annotations, synopses and summaries of the commands. */
internal object Help {
    private const val PROGRAM = "bronzeshorectl"
    private const val LINE_WIDTH = 100

    /** The help text of a command or group. */
    fun forCommand(command: Command): List<String> = buildList {
        val optionLines = optionLines(command)
        add(
            "Usage: " + listOf(PROGRAM, command.synopsis).filter { it.isNotEmpty() }.joinToString(" ") +
                usageSuffix(command),
        )
        add("")
        addAll(wrap(command.summary))
        if (command is CommandGroup) {
            add("")
            add("Commands:")
            command.commands.values.flatMap(::leafCommands).forEach { add("  ${it.synopsis}") }
            add("")
            add("\"$PROGRAM COMMAND --help\" shows the options of a command.")
        } else {
            add("")
            add("Arguments and options:")
            addAll(optionLines)
        }
        add("")
        add("Exit codes:")
        ExitCode.entries.forEach { add("  ${it.number}  ${it.meaning}") }
    }

    /** Describes why [arguments] could not be parsed, and what would be accepted. */
    fun usageError(error: CmdLineException, arguments: List<String>): List<String> {
        val command = findCommand(RootGroup(), arguments)
        val accepted =
            when (command) {
                is CommandGroup -> "one of: " + command.commands.keys.joinToString()
                else -> command.synopsis + " " + parser(command).options.joinToString(" ") { "[${optionSyntax(it)}]" }
            }
        return listOf("error: ${error.message}", "  accepted: $accepted", seeHelp(command))
    }

    /** Refers to the help of [command]. */
    fun seeHelp(command: Command): String {
        val words = command.synopsis.split(" ").takeWhile { it.isNotEmpty() && it.all(Char::isLowerCase) }
        return "See: " + (listOf(PROGRAM) + words + "--help").joinToString(" ")
    }

    // A failed parse does not tell which command was selected, so the command words are looked up again.
    private fun findCommand(command: Command, arguments: List<String>): Command {
        val next = (command as? CommandGroup)?.commands?.get(arguments.firstOrNull())
        return if (next == null) command else findCommand(next, arguments.drop(1))
    }

    private fun usageSuffix(command: Command): String =
        if (command is CommandGroup) " COMMAND [options]" else " [options]"

    private fun leafCommands(command: Command): List<Command> =
        if (command is CommandGroup) command.commands.values.flatMap(::leafCommands) else listOf(command)

    private fun optionLines(command: Command): List<String> {
        val text = StringWriter()
        parser(command).printUsage(text, null)
        return text.toString().trimEnd().lines()
    }

    private fun parser(command: Command): CmdLineParser =
        CmdLineParser(command, ParserProperties.defaults().withUsageWidth(LINE_WIDTH).withShowDefaults(false))

    private fun optionSyntax(handler: OptionHandler<*>): String {
        val name = (handler.option as NamedOptionDef).name()
        return listOf(name, handler.option.metaVar()).filter { it.isNotEmpty() }.joinToString(" ")
    }

    private fun wrap(text: String): List<String> = buildList {
        var line = ""
        for (word in text.split(" ")) {
            if (line.isNotEmpty() && line.length + word.length >= LINE_WIDTH) {
                add(line)
                line = word
            } else {
                line = if (line.isEmpty()) word else "$line $word"
            }
        }
        add(line)
    }
}
