/** Command line of the stand-ins. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.StrictJson
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.spi.SubCommand
import org.kohsuke.args4j.spi.SubCommandHandler
import org.kohsuke.args4j.spi.SubCommands
import kotlin.io.path.writeText
import kotlin.system.exitProcess

/** Maximum number of ports in one process. */
private const val MAX_PORTS = 2_000

private class Options {
    @field:Argument(required = true, metaVar = "COMMAND", handler = SubCommandHandler::class)
    @field:SubCommands(
        SubCommand(name = "platform", impl = PlatformCommand::class),
        SubCommand(name = "table", impl = TableCommand::class),
        SubCommand(name = "object-store", impl = ObjectStoreCommand::class),
        SubCommand(name = "vm-list", impl = VmListCommand::class),
        SubCommand(name = "worker", impl = WorkerCommand::class),
        SubCommand(name = "endpoint", impl = EndpointCommand::class),
    )
    lateinit var command: StandInCommand
}

/** Starts the servers, prints `ready` on standard output and runs until the process is terminated. */
public fun main(arguments: Array<String>) {
    configureRuntime()
    val options = Options()
    try {
        CmdLineParser(options).parseArgument(*arguments)
        start(options.command)
    } catch (e: CmdLineException) {
        System.err.println(e.message)
        e.parser.printUsage(System.err)
        exitProcess(2)
    } catch (e: Exception) {
        System.err.println(e)
        exitProcess(1)
    }
    println("ready")
    Thread.currentThread().join()
}

private fun start(command: StandInCommand) {
    val platform = Platform(command.plan(), System::currentTimeMillis)
    command.vmList?.let { runBlocking { VmRegistrar().register(it, platform.addresses.vms) } }
    command.addresses?.writeText(StrictJson.encodeToString(platform.addresses))
}

/** Reserves standard output for `ready` and allows one I/O thread per listening port, which Ktor's engine occupies. */
private fun configureRuntime() {
    System.setProperty("tinylog.writer", "console")
    System.setProperty("tinylog.writer.stream", "err")
    System.setProperty("tinylog.level", "warn")
    System.setProperty("kotlinx.coroutines.io.parallelism", MAX_PORTS.toString())
}
