/** Runs a cluster process until it receives a stop signal. */
package dev.bronzeshore.server.cluster

import arrow.core.Either
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.EventLog
import dev.bronzeshore.core.MonotonicClock
import dev.bronzeshore.core.cluster.ClusterSettings
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.system.exitProcess

private const val EXIT_BAD_SETTINGS = 1
private const val EXIT_FAILED = 70

/**
 * Reads the settings from [file] and runs the process; does not return before the process exits.
 *
 * [clock] is the steady clock of the machine, which need not count the time for which the machine is suspended.
 */
internal fun runClusterProcess(file: String, clock: ClockMs = MonotonicClock) {
    // Ktor's own shutdown hook would close the ports while requests are still in flight.
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val settings = loadSettings(file)
    val log = EventLog("process")
    val control = Executors.newSingleThreadExecutor { Thread(it, "control") }.asCoroutineDispatcher()
    // An unexpected exception ends only the coroutine that threw it; after an error of the JVM nothing is reliable.
    val failed = CoroutineExceptionHandler { _, failure ->
        log.event("failed", "cause" to failure.stackTraceToString())
        if (failure is Error) Runtime.getRuntime().halt(EXIT_FAILED)
    }
    val scope = CoroutineScope(SupervisorJob() + control + failed)
    onReloadSignal { logReload(file, settings, log) }
    val process = ClusterProcess(settings, control, Dispatchers.IO, scope, clock)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { process.stop() }
            Runtime.getRuntime().halt(0)
        },
    )
    runBlocking {
        process.start()
        awaitCancellation()
    }
}

/** Only logs: all settings name this machine or its bounds, so changes take effect at the next start. */
private fun logReload(file: String, inForce: ClusterSettings, log: EventLog) {
    val outcome = Either.catch { readClusterSettings(Files.readString(Path.of(file))) }.fold(
        ifLeft = { "unreadable: ${it.message}" },
        ifRight = { read -> read.fold({ "faulty: $it" }, { if (it == inForce) "unchanged" else "changed" }) },
    )
    log.event("reload", "outcome" to outcome)
}

private fun loadSettings(file: String): ClusterSettings =
    when (val settings = readClusterSettings(Files.readString(Path.of(file)))) {
        is Either.Right -> settings.value

        is Either.Left -> {
            settings.value.forEach { System.err.println("$file: $it") }
            exitProcess(EXIT_BAD_SETTINGS)
        }
    }
