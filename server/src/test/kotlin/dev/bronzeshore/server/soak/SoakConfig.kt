/** Queues and jobs of a soak: short interactive jobs, wide batch jobs and jobs whose tasks fail by their own fault. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import kotlin.random.Random

internal const val SOAK_SERVICE = "batch"
internal const val SOAK_HOST = "jobs.example"

internal enum class SoakQueue(val prefix: String, val priority: Int, val maxAttempts: Int) {
    SHORT("/short/", 0, 4),
    WIDE("/wide/", 1, 4),
    FRAGILE("/fragile/", 1, 2),
}

internal class SoakJob(val id: String, val queue: SoakQueue, val body: String, val isCancelled: Boolean) {
    val path: String get() = queue.prefix + id

    @Volatile
    var isAccepted = false

    @Volatile
    var isCancelSent = false

    @Volatile
    var state = ""
    val isEnded: Boolean get() = state in setOf("completed", "failed", "cancelled")
}

/** The operator's configuration. */
internal fun soakConfig(): String = buildJsonObject {
    put("version", 1)
    putJsonArray("routes") {
        SoakQueue.entries.forEach { queue ->
            addJsonObject {
                put("name", "r-${queue.name.lowercase()}")
                put("host", SOAK_HOST)
                put("prefix", queue.prefix)
                put("type", "unsafe")
                put("timeout_ms", 3_000)
                put("slo_ms", 1_000)
                put("priority", queue.priority)
                put("service", SOAK_SERVICE)
                put("max_attempts", queue.maxAttempts)
                put("stretch", 2.0)
            }
        }
    }
    putJsonArray("services") {
        addJsonObject {
            put("name", SOAK_SERVICE)
            put("health_path", "/health")
            put("max_conns", 64)
            put("protocol", "h1")
            put("tls", false)
            put("enforces_capacity", false)
            put("standby", false)
        }
    }
    putJsonObject("limits") { put("max_body_bytes", 262_144) }
}.toString()

/** Draws jobs; about 22 a second use some 200 cores. */
internal class SoakJobSource(private val random: Random) {
    fun next(): SoakJob {
        val id = "%016x".format(random.nextLong())
        val isCancelled = random.nextInt(40) == 0
        val kind = random.nextInt(1_000)
        val fail = ";fail=${random.nextInt(100, 700)}"
        return when {
            kind < 15 -> SoakJob(id, SoakQueue.entries.random(random), body(2, 1_000, 800, fail), isCancelled)
            kind < 60 -> SoakJob(id, SoakQueue.WIDE, body(10, 2_000, 3_400), isCancelled)
            kind < 90 -> SoakJob(id, SoakQueue.WIDE, body(12, 2_000, 6_200), isCancelled)
            else -> SoakJob(id, SoakQueue.SHORT, body(2, 1_000, 800), isCancelled)
        }
    }

    private fun body(tasks: Int, millicores: Int, workMs: Int, fail: String = ""): String = buildJsonObject {
        put("spec", "work=$workMs;cpu=$millicores$fail")
        putJsonArray("phases") {
            addJsonObject { putStep(tasks, millicores, workMs) }
            if (tasks > 2 && random.nextInt(4) == 0) {
                addJsonObject {
                    putStep(2, millicores, workMs)
                    putJsonArray("after") { add(0) }
                }
            }
        }
    }.toString()

    private fun JsonObjectBuilder.putStep(tasks: Int, millicores: Int, workMs: Int) {
        put("replicas", tasks)
        put("cpu", millicores)
        put("mem_mb", 256)
        put("estimate_ms", workMs)
    }
}
