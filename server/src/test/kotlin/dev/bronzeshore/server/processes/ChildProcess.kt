/** A program that a test runs in its own JVM. */
package dev.bronzeshore.server.processes

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText

private const val SIGNAL_WAIT_SECONDS = 10L

/** Runs [mainClass] with the class path of the test; its output goes to [log]. */
internal class ChildProcess(mainClass: String, arguments: List<String>, private val log: Path) {
    private val process: Process = ProcessBuilder(
        listOf(Path.of(System.getProperty("java.home"), "bin", "java").toString()) +
            // Small heaps and one compiler tier, because several processes share the machine with the build.
            listOf("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1") +
            listOf("-cp", System.getProperty("java.class.path"), mainClass) + arguments,
    ).redirectErrorStream(true).redirectOutput(log.toFile()).start()

    val isAlive: Boolean get() = process.isAlive

    fun printed(): String = log.readText()

    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks for a planned stop with SIGTERM; returns whether the process ended in time. */
    fun stop(timeoutMs: Long): Boolean {
        process.destroy()
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)
    }

    /** Sends `STOP` or `CONT` to this process only. */
    fun signal(name: String) {
        val sender = ProcessBuilder("kill", "-$name", process.pid().toString()).start()
        check(sender.waitFor(SIGNAL_WAIT_SECONDS, TimeUnit.SECONDS)) { "kill did not end." }
        check(sender.exitValue() == 0) { "The signal $name was not sent." }
    }
}
