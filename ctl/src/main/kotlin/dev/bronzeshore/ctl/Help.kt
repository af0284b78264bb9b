/** Help texts and messages about wrong usage. */
package dev.bronzeshore.ctl

import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.NamedOptionDef
import org.kohsuke.args4j.ParserProperties
import org.kohsuke.args4j.spi.OptionHandler
import java.io.StringWriter

/** Builds help from the annotations and texts of the commands. */
internal object Help {
    private const val PROGRAM = "bronzeshorectl"
    private const val WIDTH = 100

    /** The complete help of one command or group. */
    fun of(command: Command): List<String> = buildList {
        val options = options(command)
        add("Usage: " + listOf(PROGRAM, command.synopsis).filter { it.isNotEmpty() }.joinToString(" ") + tail(command))
        add("")
        addAll(wrap(command.summary))
        if (command is CommandGroup) {
            add("")
            add("Commands:")
            command.commands.values.flatMap(::leaves).forEach { add("  ${it.synopsis}") }
            add("")
            add("\"$PROGRAM COMMAND --help\" shows the options of a command.")
        } else {
            add("")
            add("Arguments and options:")
            addAll(options)
        }
        add("")
        add("Exit codes:")
        ExitCode.entries.forEach { add("  ${it.number}  ${it.meaning}") }
    }

    /** What is wrong with the command line [arguments], and what would be accepted. */
    fun usageError(error: CmdLineException, arguments: List<String>): List<String> {
        val command = find(RootGroup(), arguments)
        val accepted =
            when (command) {
                is CommandGroup -> "one of: " + command.commands.keys.joinToString()
                else -> command.synopsis + " " + parser(command).options.joinToString(" ") { "[${nameAndValue(it)}]" }
            }
        return listOf("error: ${error.message}", "  accepted: $accepted", seeHelp(command))
    }

    /** Where to read more. */
    fun seeHelp(command: Command): String {
        val words = command.synopsis.split(" ").takeWhile { it.isNotEmpty() && it.all(Char::isLowerCase) }
        return "See: " + (listOf(PROGRAM) + words + "--help").joinToString(" ")
    }

    // A failed parse leaves no command behind, so the words are followed once more.
    private fun find(command: Command, arguments: List<String>): Command {
        val next = (command as? CommandGroup)?.commands?.get(arguments.firstOrNull())
        return if (next == null) command else find(next, arguments.drop(1))
    }

    private fun tail(command: Command): String = if (command is CommandGroup) " COMMAND [options]" else " [options]"

    private fun leaves(command: Command): List<Command> =
        if (command is CommandGroup) command.commands.values.flatMap(::leaves) else listOf(command)

    private fun options(command: Command): List<String> {
        val text = StringWriter()
        parser(command).printUsage(text, null)
        return text.toString().trimEnd().lines()
    }

    private fun parser(command: Command): CmdLineParser =
        CmdLineParser(command, ParserProperties.defaults().withUsageWidth(WIDTH).withShowDefaults(false))

    private fun nameAndValue(handler: OptionHandler<*>): String {
        val name = (handler.option as NamedOptionDef).name()
        return listOf(name, handler.option.metaVar()).filter { it.isNotEmpty() }.joinToString(" ")
    }

    private fun wrap(text: String): List<String> = buildList {
        var line = ""
        for (word in text.split(" ")) {
            if (line.isNotEmpty() && line.length + word.length >= WIDTH) {
                add(line)
                line = word
            } else {
                line = if (line.isEmpty()) word else "$line $word"
            }
        }
        add(line)
    }
}
