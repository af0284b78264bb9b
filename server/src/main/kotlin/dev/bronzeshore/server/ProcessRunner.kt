/** Runs a process until it receives a signal to stop. */
package dev.bronzeshore.server

import dev.bronzeshore.core.ComponentLog
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/** Time limit for requests in flight to finish after a planned stop was requested. */
private const val STOP_TIMEOUT_MS = 60_000L
private const val EXIT_INVARIANT_FAILED = 70

internal fun runProcess(settings: Settings) {
    // Ktor's own shutdown hook would close the ports at once, while requests are still in flight.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val log = ComponentLog("server")
    val control = Executors.newSingleThreadExecutor { Thread(it, "control") }.asCoroutineDispatcher()
    val process = BronzeshoreProcess(settings, System::currentTimeMillis, control) { failure ->
        log.error(failure) { "The control thread failed; the process ends so that its deputy takes over." }
        Runtime.getRuntime().halt(EXIT_INVARIANT_FAILED)
    }
    Runtime.getRuntime().addShutdownHook(
        Thread { runBlocking { process.stop(System.currentTimeMillis() + STOP_TIMEOUT_MS) } },
    )
    try {
        runBlocking {
            process.start()
            awaitCancellation()
        }
    } catch (failure: Exception) {
        log.error(failure) { "The process could not start." }
        exitProcess(1)
    }
}
