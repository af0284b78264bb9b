/** One process of the product, started with the options of the deploy file and the class path of the test. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.exists
import kotlin.io.path.readLines
import kotlin.io.path.writeText

private const val SIGNAL_WAIT_SECONDS = 10L
private val JVM_OPTIONS =
    listOf("-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData")

internal class SoakProcess(
    val place: SoakPlace,
    private val folder: Path,
    private val storeAddress: String,
    private val adviceAddress: String,
    private val log: SoakLog,
    /** The steady clock of the process stands still while it is suspended. */
    private val hasSuspendableClock: Boolean,
) {
    val name: String = place.machine
    val callersPort = SoakPorts.next()
    val readinessPort = SoakPorts.next()
    val peersPort = SoakPorts.next()
    private val metricsPort = SoakPorts.next()
    private val logFile = folder.resolve("$name.log")
    private var process: Process? = null
    private var isClosed = false

    val isAlive: Boolean get() = process?.isAlive == true
    val logLines: List<String> get() = if (logFile.exists()) logFile.readLines() else emptyList()

    @Synchronized
    fun start() {
        if (isAlive || isClosed) return
        val settings = folder.resolve("$name.json").apply { writeText(settings()) }
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val arguments = if (hasSuspendableClock) {
            listOf("dev.bronzeshore.server.soak.SoakProcessMain", settings.toString())
        } else {
            listOf("dev.bronzeshore.server.MainKt", "--platform")
        }
        val classPath = listOf("-cp", System.getProperty("java.class.path"))
        val builder = ProcessBuilder(listOf(java) + JVM_OPTIONS + classPath + arguments)
        builder.environment()["BRONZESHORE_BOOT"] = settings.toString()
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
        process = builder.start()
        log.add("process $name starts")
    }

    /** Kills the process; it does not start again. */
    @Synchronized
    fun close() {
        isClosed = true
        kill()
    }

    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Sends SIGTERM, and SIGKILL if the process has not ended after [graceMs]. */
    fun stop(graceMs: Long) {
        process?.destroy()
        if (process?.waitFor(graceMs, TimeUnit.MILLISECONDS) == false) kill()
    }

    /** Sends `STOP` or `CONT` to this process only. */
    fun signal(name: String) {
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor(SIGNAL_WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun settings(): String = buildJsonObject {
        put("processName", name)
        put("dataCentre", place.dataCentre)
        put("callersAddress", "127.0.0.1:$callersPort")
        put("readinessAddress", "127.0.0.1:$readinessPort")
        put("peersAddress", "127.0.0.1:$peersPort")
        put("metricsAddress", "127.0.0.1:$metricsPort")
        put("storeAddress", storeAddress)
        put("adviceAddress", adviceAddress)
        put("processorShare", 0.75)
        put("processors", 1)
        put("memoryMb", 430)
        put("linkMbps", 1_000.0)
        putJsonObject("bounds") {
            put("maxLeaseMs", MAX_LEASE_MS)
            put("stopGraceMs", 400)
            put("gangWaitMs", 3_000)
            put("stopSignalGraceSeconds", 6)
            put("statusRetentionSeconds", 120)
            put("earlyStartMs", 250)
            put("remoteFactor", 1.5)
            put("workerHeartbeatMs", 1_500)
        }
    }.toString()
}
