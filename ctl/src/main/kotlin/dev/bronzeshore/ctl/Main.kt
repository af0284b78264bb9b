/** Entry point of bronzeshorectl. */
package dev.bronzeshore.ctl

import kotlinx.coroutines.runBlocking
import java.util.UUID
import kotlin.system.exitProcess

/** Runs one command line and exits with a documented code. */
public fun main(arguments: Array<String>) {
    val exitCode = runBlocking { Ctl(processContext()).run(arguments.toList()) }
    System.out.flush()
    exitProcess(exitCode.number)
}

/** The context of this process; [checkSettings] checks settings of `bronzeshore`, if that is available. */
public fun processContext(checkSettings: SettingsChecker? = null): CtlContext = CtlContext(
    environment = System::getenv,
    http = ::ktorHttpCall,
    printOut = ::println,
    printError = System.err::println,
    readInput = { System.`in`.readBytes().decodeToString() },
    clock = System::currentTimeMillis,
    newIdempotencyKey = { UUID.randomUUID().toString() },
    userName = System.getProperty("user.name"),
    checkSettings = checkSettings,
)
