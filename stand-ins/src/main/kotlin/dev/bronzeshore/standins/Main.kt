/** Command line of the stand-ins. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.StrictJson
import kotlinx.serialization.encodeToString
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands
import kotlin.io.path.writeText
import kotlin.system.exitProcess

private class Options {
    @field:Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler::class)
    @field:SubCommands(
        SubCommand(name = "platform", impl = PlatformCommand::class),
    )
    lateinit var command: StandInCommand
}

/** Starts the servers, prints `ready` on standard output and runs until the process is ended. */
public fun main(arguments: Array<String>) {
    configureRuntime()
    val options = Options()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*arguments)
    } catch (e: CmdLineException) {
        System.err.println(e.message)
        e.parser.printUsage(System.err)
        exitProcess(2)
    }
    val platform = Platform(options.command.plan(), System::currentTimeMillis)
    options.command.addresses?.writeText(StrictJson.encodeToString(platform.addresses))
    println("ready")
    Thread.currentThread().join()
}

/** Keeps standard output free for `ready`, and gives each listening port the thread that Ktor's engine takes for it. */
private fun configureRuntime() {
    System.setProperty("tinylog.writer", "console")
    System.setProperty("tinylog.writer.stream", "err")
    System.setProperty("tinylog.level", "warn")
    System.setProperty("kotlinx.coroutines.io.parallelism", "2000")
}
