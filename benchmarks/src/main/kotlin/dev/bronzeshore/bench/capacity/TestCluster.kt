/** Real processes on loopback: the stand-ins with the given number of workers, and three bronzeshore processes. */
package dev.bronzeshore.bench.capacity

import dev.bronzeshore.core.Allowance
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.Policy
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.WorkKind
import dev.bronzeshore.standins.EndpointPlan
import dev.bronzeshore.standins.PlatformPlan
import dev.bronzeshore.standins.ServerPlan
import dev.bronzeshore.standins.ServerRecords
import dev.bronzeshore.standins.WorkerPlan
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest

private const val TABLE_PORT = 28_300
private const val VM_LIST_PORT = 28_301
private const val FIRST_CALLER_PORT = 28_001
private const val FIRST_OPERATOR_PORT = 28_101
private const val FIRST_PEER_PORT = 28_201
private const val GIB = 1_073_741_824L
private const val WAIT_TIMEOUT_MS = 60_000L
private const val POLL_PERIOD_MS = 200L
private const val TOKEN = "capacity-token"
private val dataCentres = listOf("ridge", "valley", "meadow")

internal class TestCluster(private val workers: Int) : AutoCloseable {
    private val folder: Path = Files.createTempDirectory("bronzeshore-capacity")
    private val http = HttpClient.newHttpClient()
    private val started = mutableListOf<Process>()

    /** Ids of the bronzeshore processes. */
    val pids: List<Long> get() = started.drop(1).map { it.pid() }

    fun start() {
        val file = folder.resolve("platform.json")
        Files.writeString(file, WireJson.encodeToString(platformPlan()))
        launch("stand-ins", "dev.bronzeshore.standins.MainKt", "-Xmx1g", "platform", "--file", file.toString())
        awaitUntil("the stand-ins respond") { get("http://127.0.0.1:$VM_LIST_PORT/vms").length > 2 }
        dataCentres.forEachIndexed { index, dataCentre -> launchServer(index, dataCentre) }
        awaitUntil("the processes respond") { operatorGet("/v1/status").contains("processId") }
        applyConfiguration()
    }

    private fun platformPlan(): PlatformPlan {
        val capacity = Resources(32_000, 128 * GIB, 1)
        return PlatformPlan(
            table = ServerPlan(TABLE_PORT),
            vmList = ServerPlan(VM_LIST_PORT),
            workers = dataCentres.map {
                WorkerPlan("worker-$it", it, it, capacity, count = workers / dataCentres.size)
            },
            endpoints = dataCentres.map { EndpointPlan("booking-$it", "booking", it, "$it-1", slots = 8, count = 10) },
        )
    }

    private fun launchServer(index: Int, dataCentre: String) {
        fun listen(firstPort: Int) = """{"host": "127.0.0.1", "port": ${firstPort + index}}"""
        val settings = folder.resolve("$dataCentre.json")
        Files.writeString(
            settings,
            """
            {"processId": "entry-$dataCentre", "dataCentre": "$dataCentre", "region": "highland",
             "callers": ${listen(FIRST_CALLER_PORT)}, "operators": ${listen(FIRST_OPERATOR_PORT)},
             "peers": ${listen(FIRST_PEER_PORT)}, "operatorTokenSha256": "${sha256(TOKEN)}",
             "platform": {"tableUrl": "http://127.0.0.1:$TABLE_PORT", "vmListUrl": "http://127.0.0.1:$VM_LIST_PORT"}}
            """.trimIndent(),
        )
        launch("server", "dev.bronzeshore.server.MainKt", "-Xmx256m", settings.toString())
    }

    private fun launch(module: String, mainClass: String, heap: String, vararg arguments: String) {
        val classPath = "$module/target/*:$module/target/lib/*"
        val command =
            listOf("java", heap, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classPath, mainClass) + arguments
        val log = folder.resolve("$module-${started.size}.log").toFile()
        started += ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start()
    }

    private fun applyConfiguration() {
        val plan = Plan("capacity", sha256(TOKEN), listOf(WorkKind("batch", Policy.BATCH)))
        val limit = Resources(1_000_000_000, 1_000_000 * GIB, 10_000)
        val allowances = dataCentres.map { Allowance("capacity", it, limit, slots = 80) }
        val request = ApplyRequest(plans = listOf(plan), allowances = allowances, operator = "bench")
        post("http://127.0.0.1:$FIRST_OPERATOR_PORT/v1/configuration", WireJson.encodeToString(request), emptyMap())
        awaitUntil("the configuration is in force") {
            get("http://127.0.0.1:$FIRST_CALLER_PORT/readyz").contains("ready")
        }
    }

    /** Submits a job of [parts] parts to one data centre and retries while the data centre has no owner. */
    fun submit(key: String, dataCentre: String, parts: Int, runMs: Long) {
        val size = Resources(1_000, GIB)
        val submission = JobSubmission("batch", size, parts, dataCentre = dataCentre, declaredRunMs = runMs)
        awaitUntil("job $key is accepted") {
            val url = "http://127.0.0.1:$FIRST_CALLER_PORT/v1/jobs"
            post(url, WireJson.encodeToString(submission), mapOf("Idempotency-Key" to key)) in 200..299
        }
    }

    /** Submits [parts] parts in jobs of [partsPerJob], spread over the data centres. */
    fun submitParts(name: String, parts: Int, partsPerJob: Int, runMs: Long) = repeat(parts / partsPerJob) { index ->
        submit("$name-$index", dataCentres[index % dataCentres.size], partsPerJob, runMs)
    }

    /** Number of parts started so far in all data centres. */
    fun startedParts(): Long = dataCentres.indices.sumOf { index ->
        metricSum("http://127.0.0.1:${FIRST_OPERATOR_PORT + index}/metrics", "bronzeshore_wait_seconds_count")
    }

    /** Number of transactions that the table service has received. */
    fun tableWrites(): Long {
        val records = WireJson.decodeFromString<ServerRecords>(get("http://127.0.0.1:$TABLE_PORT/stand-in/records"))
        return records.calls.writes
    }

    private fun metricSum(url: String, name: String): Long = authorizedGet(url).lineSequence()
        .filter { it.startsWith(name) }.sumOf { it.substringAfterLast(' ').toDouble().toLong() }

    private fun operatorGet(path: String) = authorizedGet("http://127.0.0.1:$FIRST_OPERATOR_PORT$path")

    private fun authorizedGet(url: String) =
        send(HttpRequest.newBuilder(URI(url)).header("Authorization", "Bearer $TOKEN")).body()

    private fun get(url: String): String = send(HttpRequest.newBuilder(URI(url))).body()

    private fun post(url: String, body: String, headers: Map<String, String>): Int {
        val request = HttpRequest.newBuilder(URI(url)).header("Authorization", "Bearer $TOKEN")
            .POST(HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { (name, value) -> request.header(name, value) }
        return send(request).statusCode()
    }

    private fun send(request: HttpRequest.Builder): HttpResponse<String> =
        http.send(request.build(), HttpResponse.BodyHandlers.ofString())

    override fun close() {
        started.asReversed().forEach { it.destroy() }
        started.forEach { it.waitFor() }
        folder.toFile().deleteRecursively()
    }
}

internal fun awaitUntil(what: String, holds: () -> Boolean) {
    val deadlineMs = System.currentTimeMillis() + WAIT_TIMEOUT_MS
    while (!runCatching(holds).getOrDefault(false)) {
        check(System.currentTimeMillis() < deadlineMs) { "timed out waiting until $what" }
        Thread.sleep(POLL_PERIOD_MS)
    }
}

private fun sha256(text: String): String = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
    .joinToString("") { "%02x".format(it) }
