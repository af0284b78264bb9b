/** Draws short jobs, wide jobs, and jobs whose tasks fail by their own fault; 22 a second use some 200 cores. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlin.random.Random

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
