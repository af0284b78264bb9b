/** Stand-in of the advice service: it tells which workers may run a step, and gives tickets for them. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

private const val DECISION_MS = 9L
private const val EACH_MICROS = 130L
private const val MICROS_PER_MS = 1_000L
internal const val TICKET_VALIDITY_MS = 1_500L
private const val GOOD_PERCENT = 60
private const val PERCENT = 100

internal class SoakAdvice(private val log: SoakLog, private val cuts: SoakCuts) {
    private val locks = ConcurrentHashMap<String, Any>()

    /** Start times of the workers that are up, by their ids. */
    private val lives = ConcurrentHashMap<String, Long>()

    /** Opens a port for one caller, whose calls are handled one after the other. */
    fun openFor(caller: String): SoakHttpServer {
        val lock = locks.computeIfAbsent(caller) { Any() }
        return SoakHttpServer { request ->
            if (cuts.isCutOff(caller)) null else synchronized(lock) { advise(request) }
        }.apply { open() }
    }

    fun recordStart(workerId: String, bornWallMs: Long) {
        lives[workerId] = bornWallMs
    }

    /** True if [ticket] lets tasks of [step] start in this life of the worker. */
    fun isValid(ticket: String, step: String, workerId: String, bornWallMs: Long): Boolean {
        val parts = ticket.split('|')
        return parts.size == 4 &&
            parts[0] == step &&
            parts[1] == workerId &&
            parts[2] == bornWallMs.toString() &&
            log.nowMs - parts[3].toLong() <= TICKET_VALIDITY_MS
    }

    private fun advise(request: SoakRequest): SoakReply {
        val call = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        val step = call.text("step_id")
        val workers = call.getValue("workers").jsonArray.map { it.jsonPrimitive.content }
        Thread.sleep(DECISION_MS + EACH_MICROS * workers.size / MICROS_PER_MS)
        val good = workers.filter { Random("$step/$it".hashCode()).nextInt(PERCENT) < GOOD_PERCENT }
        val rows = good.map { id ->
            JsonArray(listOf(JsonPrimitive(id), JsonPrimitive("$step|$id|${lives[id]}|${log.nowMs}")))
        }
        return SoakReply(200, buildJsonObject { put("good", JsonArray(rows)) }.toString())
    }
}
