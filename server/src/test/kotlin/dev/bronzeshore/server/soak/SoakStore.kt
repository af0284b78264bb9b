/** Stand-in of the platform's table store over HTTP, with one port for each caller and faults. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import java.util.Base64
import java.util.TreeMap
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.random.Random

private const val MAX_PAGE_ROWS = 500
private const val APPLIED = 200
private const val UNAVAILABLE = 503
private const val CONFLICT = 412
private const val GONE = 410

/** Time from a transaction until its answer, which names the newest version at its end. */
private const val ANSWER_MS = 2L

internal class SoakStore(
    private val log: SoakLog,
    seed: Long,
    private val cuts: SoakCuts,
    private val peers: SoakPeerLinks,
) {
    val faults = SoakStoreFaults()
    val terms = SoakTerms()
    private val random = Random(seed)
    private val parts = HashMap<Pair<String, String>, TreeMap<String, SoakRow>>()
    private val history = HashMap<String, ArrayList<SoakRow>>()
    private val monitor = Object()
    private val ports = ConcurrentHashMap<String, SoakHttpServer>()
    private var version = 0L

    /** Opens a port for one caller. */
    fun openFor(caller: String): SoakHttpServer =
        SoakHttpServer { serve(caller, it) }.apply { open() }.also { ports[caller] = it }

    /** The port of one caller. */
    fun portOf(caller: String): SoakHttpServer = ports.getValue(caller)

    /** Performs a transaction whose connection has gone silent, some seconds later. */
    fun performLate(request: SoakRequest) {
        if (request.path != "/rows-tx") return
        val delayMs = synchronized(random) { random.nextLong(300, 5_000) }
        thread(isDaemon = true) {
            Thread.sleep(delayMs)
            transact("", Json.parseToJsonElement(request.body.decodeToString()).jsonObject)
        }
    }

    /** Drops the history before now, as the store may do at any time. */
    fun dropHistory() = synchronized(monitor) { faults.oldestVersion = version }

    /** Writes or removes a row of the operator or of a worker. */
    fun put(table: String, key: String, value: String?) = synchronized(monitor) {
        version++
        save(SoakRow(SoakRowId(table, "", key), value?.let { encode(it) }, version))
        monitor.notifyAll()
    }

    private fun encode(text: String) = Base64.getEncoder().encodeToString(text.encodeToByteArray())

    private fun save(row: SoakRow) {
        val rows = parts.getOrPut(row.id.table to row.id.part) { TreeMap() }
        if (row.value == null) rows.remove(row.id.key) else rows[row.id.key] = row
        history.getOrPut(row.id.table) { ArrayList() } += row
        terms.record(row)
    }

    private fun serve(caller: String, request: SoakRequest): SoakReply? {
        if (isSilent(caller)) return null
        Thread.sleep(faults.latencyMs)
        if (faults.isRefused(caller)) return SoakReply(UNAVAILABLE)
        val reply = when (request.path) {
            "/rows-tx" -> transactWithFaults(caller, request)
            "/rows-get" -> read(caller, request.query)
            "/rows-feed" -> feed(caller, request.query)
            else -> SoakReply(404)
        }
        return reply.takeUnless { isSilent(caller) }
    }

    private fun isSilent(caller: String) = faults.isSilent(caller) || cuts.isCutOff(caller)

    private fun transactWithFaults(caller: String, request: SoakRequest): SoakReply? {
        val call = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        if (synchronized(random) { random.nextDouble() } >= faults.lostShare) {
            val current = transact(caller, call)
            Thread.sleep(if (faults.isAnsweredLate(caller)) lateAnswerMs() else ANSWER_MS)
            return if (current == null) SoakReply(APPLIED, newestVersion()) else SoakReply(CONFLICT, current)
        }
        val delayMs = synchronized(random) { if (random.nextBoolean()) 0L else random.nextLong(300, 5_000) }
        thread(isDaemon = true) {
            Thread.sleep(delayMs)
            transact(caller, call)
        }
        return null
    }

    private fun JsonElement.id(): SoakRowId = jsonObject.let { row ->
        SoakRowId(row.text("table"), row["part"]?.jsonPrimitive?.content.orEmpty(), row.text("key"))
    }

    private fun JsonObject.list(name: String) = get(name)?.jsonArray.orEmpty()

    private fun rowAt(id: SoakRowId): SoakRow? = parts[id.table to id.part]?.get(id.key)

    private fun lateAnswerMs() = synchronized(random) { random.nextLong(700, 2_000) }

    /** Applies [call]; if a condition does not hold, it returns the body with the current rows. */
    private fun transact(caller: String, call: JsonObject): String? = synchronized(monitor) {
        val conditions = call.list("precondition")
        val current = conditions.mapNotNull { rowAt(it.id()) }
        val holds = conditions.all {
            (rowAt(it.id())?.version ?: 0) == it.jsonObject.getValue("ver").jsonPrimitive.long
        }
        if (!holds) return answer(caller, current)
        version++
        call.list("set_keys").forEach { save(SoakRow(it.id(), it.jsonObject.text("value"), version)) }
        call.list("remove").filter { rowAt(it.id()) != null }.forEach { save(SoakRow(it.id(), null, version)) }
        monitor.notifyAll()
        null
    }

    /** The body of the answer to a transaction: other callers may have written since. */
    private fun newestVersion(): String = synchronized(monitor) { buildJsonObject { putVersion() }.toString() }

    private fun JsonObjectBuilder.putVersion() {
        put("ver", version)
        put("now_ms", log.nowMs)
    }

    private fun answer(caller: String, rows: List<SoakRow>, hasMore: Boolean = false): String = buildJsonObject {
        put("rows", JsonArray(rows.map { peers.shownTo(caller, it).toJson() }))
        put("has_more", hasMore)
        putVersion()
    }.toString()

    private fun read(caller: String, query: Map<String, String>): SoakReply = synchronized(monitor) {
        val all = parts[query.getValue("table") to query["part"].orEmpty()] ?: TreeMap()
        val to = query["to"]
        val found = all.tailMap(query["from"].orEmpty(), true).values.filter { to == null || it.id.key < to }
        SoakReply(200, answer(caller, found.take(MAX_PAGE_ROWS), found.size > MAX_PAGE_ROWS))
    }

    private fun feed(caller: String, query: Map<String, String>): SoakReply =
        synchronized(monitor) { awaitChanges(caller, query) }

    private fun awaitChanges(caller: String, query: Map<String, String>): SoakReply {
        val after = query.getValue("after").toLong()
        val untilMs = log.nowMs + (query["wait_ms"]?.toLong() ?: 0)
        if (after < faults.oldestVersion) return SoakReply(GONE)
        while (true) {
            if (faults.isRefused(caller)) return SoakReply(UNAVAILABLE)
            val all = history[query.getValue("table")].orEmpty()
            var first = all.size
            while (first > 0 && all[first - 1].version > after) first--
            val leftMs = untilMs - log.nowMs
            if (first < all.size || leftMs <= 0) return SoakReply(200, answer(caller, all.subList(first, all.size)))
            monitor.wait(leftMs)
        }
    }
}
