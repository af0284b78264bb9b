/** The operator's configuration in a soak. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

internal const val SOAK_SERVICE = "batch"

/** Table in which workers register. */
internal const val SOAK_WORKERS = "servers"
internal const val SOAK_HOST = "jobs.example"

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
