/** Command line of the `bronzeshore` binary. */
package dev.bronzeshore.server

import arrow.core.Either
import dev.bronzeshore.core.Fault
import dev.bronzeshore.platform.cluster.PlatformClient
import dev.bronzeshore.server.cluster.recordClasses
import dev.bronzeshore.server.cluster.runClusterProcess
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_BAD_SETTINGS = 1

internal class ServerArguments {
    @Argument(metaVar = "SETTINGS", usage = "settings file (JSON with comments); not needed with --platform")
    var settingsFile: String = ""

    @Option(name = "--platform", usage = "run on the users' platform, with the settings file that it names")
    var onPlatform: Boolean = false

    @Option(name = "--check-settings", usage = "check the settings file and exit")
    var checkOnly: Boolean = false

    @Option(name = "--record-classes", usage = "load all classes on loopback and exit; used by the build")
    var recordClasses: Boolean = false

    @Option(name = "--help", aliases = ["-h"], usage = "print this help", help = true)
    var help: Boolean = false
}

public fun main(args: Array<String>) {
    val arguments = ServerArguments()
    val parser = CmdLineParser(arguments)
    try {
        parser.parseArgument(*args)
    } catch (failure: CmdLineException) {
        System.err.println(failure.message)
        printUsage(parser)
        exitProcess(EXIT_USAGE)
    }
    if (arguments.help) return printUsage(parser)
    if (arguments.recordClasses) recordClasses()
    if (arguments.onPlatform) return runClusterProcess(arguments.settingsFile.ifEmpty { platformSettingsFile() })
    if (arguments.settingsFile.isEmpty()) {
        printUsage(parser)
        exitProcess(EXIT_USAGE)
    }
    val settings = readSettings(arguments.settingsFile)
    if (arguments.checkOnly) println("${arguments.settingsFile} is valid.") else runProcess(settings)
}

private fun platformSettingsFile(): String = PlatformClient.settingsFilePath() ?: run {
    System.err.println("The platform has named no settings file.")
    exitProcess(EXIT_USAGE)
}

private fun printUsage(parser: CmdLineParser) {
    System.err.println("bronzeshore [--check-settings] SETTINGS | --platform [SETTINGS]")
    parser.printUsage(System.err)
}

private fun readSettings(file: String): Settings {
    val text = try {
        Files.readString(Path.of(file))
    } catch (failure: IOException) {
        System.err.println("Cannot read $file: ${failure.message}")
        exitProcess(EXIT_USAGE)
    }
    return when (val result = SettingsReader().read(file, text)) {
        is Either.Right -> result.value

        is Either.Left -> {
            result.value.forEach { System.err.println(describe(it)) }
            exitProcess(EXIT_BAD_SETTINGS)
        }
    }
}

private fun describe(fault: Fault): String =
    "${fault.place}: code ${fault.code.number}: ${fault.message} Accepted: ${fault.accepted}."
