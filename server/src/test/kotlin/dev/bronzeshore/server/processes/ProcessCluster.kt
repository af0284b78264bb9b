/** The stand-ins and several bronzeshore processes, each in its own JVM, on free loopback ports. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.ListenAddress
import dev.bronzeshore.core.StrictJson
import dev.bronzeshore.server.PlatformAddresses
import dev.bronzeshore.server.Settings
import dev.bronzeshore.standins.Faults
import dev.bronzeshore.standins.PlatformPlan
import dev.bronzeshore.standins.ServerRecords
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.readText
import kotlin.io.path.writeText
import dev.bronzeshore.standins.PlatformAddresses as StandInAddresses

private const val LOOPBACK = "127.0.0.1"
private const val START_TIMEOUT_MS = 40_000L

/** Starts on creation; [close] kills every process, also one that is paused by a signal. */
internal class ProcessCluster(private val folder: Path, size: Int) : AutoCloseable {
    private val http = ClusterHttp()
    private val children = mutableListOf<ChildProcess>()
    private val addresses: StandInAddresses
    private var starts = 0
    private var warmUpRequests = 0

    /** In the order of their data centres; a restarted process replaces the former one. */
    val entries: MutableList<EntryProcess>

    init {
        try {
            addresses = startPlatform()
            entries = settingsOf(size).mapTo(CopyOnWriteArrayList(), ::startEntry)
            entries.forEach { entry -> awaitUntil("${entry.id} responds", START_TIMEOUT_MS) { entry.isResponding() } }
            applyConfiguration()
            awaitServing()
        } catch (failure: Throwable) {
            close()
            throw failure
        }
    }

    private fun startPlatform(): StandInAddresses {
        val plan = folder.resolve("platform.json")
        plan.writeText(StrictJson.encodeToString(PlatformPlan.serializer(), platformPlan))
        val file = folder.resolve("addresses.json")
        val arguments = listOf("platform", "--file", "$plan", "--addresses", "$file")
        val child = ChildProcess("dev.bronzeshore.standins.MainKt", arguments, folder.resolve("platform.log"))
        children += child
        awaitUntil("the platform is ready", START_TIMEOUT_MS) { child.printed().lines().any { it == "ready" } }
        return StrictJson.decodeFromString(StandInAddresses.serializer(), file.readText())
    }

    private fun settingsOf(size: Int): List<Settings> {
        val sockets = List(size * 3) { ServerSocket(0) }
        val ports = ArrayDeque(sockets.map { it.localPort })
        sockets.forEach { it.close() }
        return List(size) {
            Settings(
                processId = "entry-$it",
                dataCentre = dataCentreNames[it % dataCentreNames.size],
                region = "highland",
                callers = ListenAddress(LOOPBACK, ports.removeFirst()),
                operators = ListenAddress(LOOPBACK, ports.removeFirst()),
                peers = ListenAddress(LOOPBACK, ports.removeFirst()),
                platform = PlatformAddresses("http://${addresses.table}", "http://${addresses.vmList}"),
                operatorTokenSha256 = sha256Hex(OPERATOR_TOKEN),
            )
        }
    }

    private fun startEntry(settings: Settings): EntryProcess {
        val name = "${settings.processId}-start-${starts++}"
        val file = folder.resolve("$name.json")
        file.writeText(StrictJson.encodeToString(Settings.serializer(), settings))
        val child = ChildProcess("dev.bronzeshore.server.MainKt", listOf("$file"), folder.resolve("$name.log"))
        children += child
        return EntryProcess(settings, child, http)
    }

    private fun applyConfiguration() {
        val request = ApplyRequest(null, clusterPlans, clusterAllowances(), operator = "test")
        awaitUntil("the plans are accepted", START_TIMEOUT_MS) { entries.first().apply(request).status == HTTP_OK }
    }

    /** Waits until every data centre has an owner and every process serves requests. */
    fun awaitServing() {
        awaitUntil("all processes are ready", START_TIMEOUT_MS) { entries.all { it.isReady() } }
        awaitUntil("each data centre has an owner", START_TIMEOUT_MS) { dataCentreNames.all { ownerOf(it) != null } }
        entries.forEach { entry ->
            awaitUntil("${entry.id} serves requests", START_TIMEOUT_MS) {
                entry.request("warm-up-${warmUpRequests++}").status == HTTP_OK
            }
        }
    }

    fun ownerOf(dataCentre: String): EntryProcess? = entries.find { it.termOf(dataCentre) != null }

    /** Starts a process with the settings of [former] in its place, without waiting until it is ready. */
    fun replace(former: EntryProcess): EntryProcess {
        val started = startEntry(former.settings)
        entries[entries.indexOf(former)] = started
        return started
    }

    fun setTableFaults(faults: Faults) {
        val body = StrictJson.encodeToString(Faults.serializer(), faults)
        val response = http.send(HttpCall("POST", "http://${addresses.table}/stand-in/faults", body.toByteArray()))
        check(response.status == HTTP_OK) { "The faults were not set: ${response.text}" }
    }

    fun records(): List<ServerRecords> = addresses.vms.map { vm ->
        val response = http.send(HttpCall("GET", "http://${vm.address}/stand-in/records"))
        StrictJson.decodeFromString(ServerRecords.serializer(), response.text)
    }

    /** Last lines of all logs for messages of failed tests, because the folder with the logs is deleted. */
    fun logs(): String = children.joinToString("\n") { it.printed().lines().takeLast(LOG_LINES).joinToString("\n") }

    override fun close() = children.asReversed().forEach { it.kill() }

    private companion object {
        const val LOG_LINES = 60
    }
}
