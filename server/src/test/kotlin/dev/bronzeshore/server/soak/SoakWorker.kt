/** Stand-in of one worker machine over HTTP: its incarnations, status reports and faults of its connections. */
package dev.bronzeshore.server.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import kotlin.concurrent.thread
import kotlin.random.Random

private const val STATUS_PERIOD_MS = 1_500L
private const val EXPIRES_AFTER_MS = 3 * STATUS_PERIOD_MS
private const val TICK_MS = 10L
private const val MEMORY_MIB = 131_072
private const val MISDIRECTED = 421
internal const val MAX_LEASE_MS = 10_000L

internal class SoakWorker(
    private val fleet: SoakFleet,
    val place: SoakPlace,
    val millicores: Long,
    seed: Long,
    port: Int = SoakPorts.next(),
) {
    val faults = SoakWorkerFaults()
    private val random = Random(seed)

    /** The worker's kind, which is one of two, and its rack. */
    val labels = setOf(if (random.nextBoolean()) "a" else "b", place.rack)

    @Volatile
    private var server = SoakHttpServer(port) { serve(it) }
    private val log get() = fleet.log
    private var seq = 0L
    private var isListed = false
    private var reportedAtMs = 0L
    private var reportsAtMs = 0L

    @Volatile
    private var incarnation: SoakIncarnation? = null

    @Volatile
    var isDraining = false
        private set

    val port: Int get() = server.port

    /** The id of the running incarnation, or null. */
    val id: String? get() = incarnation?.id
    val runCount: Int get() = incarnation?.runCount ?: 0

    /** Starts an incarnation, listed after [reportsAfterMs]; the same id as before stands for a restart. */
    @Synchronized
    fun start(id: String, reportsAfterMs: Long = 0) {
        val started = SoakIncarnation(id, fleet, millicores, labels, random)
        isDraining = false
        isListed = false
        seq = 0
        reportsAtMs = log.nowMs + reportsAfterMs
        incarnation = started
        server.open()
        fleet.advice.recordStart(id, started.bornWallMs)
        log.add("worker $id starts at ${server.address}, born ${started.bornWallMs}")
        thread(isDaemon = true, name = id) { tick(started) }
    }

    fun startIfDown(id: String, reportsAfterMs: Long = 0) {
        if (this.id == null) start(id, reportsAfterMs)
    }

    /** Calls under [terms] get no answer until [untilMs]; starts among them are carried out late. */
    fun cut(terms: LongRange, untilMs: Long) {
        faults.silentTerms = terms
        faults.silentUntilMs = untilMs
    }

    /** Ends the incarnation with all its runs; connections are reset and the port closed. */
    fun crash(how: String = "crashes") {
        server.close()
        val ended = terminate(how) ?: return
        if (how == "leaves") return fleet.store.put(SOAK_WORKERS, ended.id, null)
        thread(isDaemon = true) {
            Thread.sleep(EXPIRES_AFTER_MS)
            if (id != ended.id) fleet.store.put(SOAK_WORKERS, ended.id, null)
        }
    }

    /** Starts a new incarnation under the same id at once; open connections stay open and silent. */
    fun restartSilently(reportsAfterMs: Long = 0) {
        val ended = terminate("restarts, old connections are silent") ?: return
        server.silenceConnections()
        server.closeListener()
        start(ended.id, reportsAfterMs)
    }

    @Synchronized
    private fun terminate(how: String): SoakIncarnation? {
        val ended = incarnation ?: return null
        incarnation = null
        ended.terminate(how)
        return ended
    }

    /** The port refuses connections for [durationMs], and open ones are reset; the runs go on. */
    fun refuseFor(durationMs: Long) {
        val own = incarnation ?: return
        log.add("worker ${own.id} refuses connections for $durationMs ms")
        server.refuse(isReset = true)
        thread(isDaemon = true) {
            Thread.sleep(durationMs)
            synchronized(this) { if (incarnation === own) server.open() }
        }
    }

    fun resetConnections() = server.resetConnections()

    /** Open connections deliver no answers any more; if [isLate], their requests are executed seconds later. */
    fun silenceConnections(isLate: Boolean) = server.silenceConnections(if (isLate) ::executeLate else null)

    private fun executeLate(request: SoakRequest) {
        val own = incarnation ?: return
        val delayMs = random.nextLong(300, 4_000)
        thread(isDaemon = true) {
            Thread.sleep(delayMs)
            val call = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
            if (incarnation === own && isFor(own, request)) own.execute(request.path, call, isLate = true)
        }
    }

    /** Accepts no connections any more, so that another worker can start at the port; open connections stay. */
    @Synchronized
    fun givePortAway(): Int {
        server.refuse(isReset = false)
        return port
    }

    /** Listens at another port from its next start on. */
    @Synchronized
    fun moveTo(port: Int) {
        server = SoakHttpServer(port) { serve(it) }
    }

    fun drain(leavesAfterMs: Long) {
        val drained = incarnation ?: return
        log.add("worker ${drained.id} drains and leaves in $leavesAfterMs ms")
        synchronized(this) {
            isDraining = true
            reportsAtMs = 0
            reportOrExpire(drained)
        }
        thread(isDaemon = true) {
            Thread.sleep(leavesAfterMs)
            if (incarnation === drained) crash("leaves")
        }
    }

    private fun tick(own: SoakIncarnation) {
        while (incarnation === own) {
            Thread.sleep(TICK_MS)
            own.endRuns()
            synchronized(this) { reportOrExpire(own) }
        }
    }

    private fun reportOrExpire(own: SoakIncarnation) {
        if (incarnation !== own) return
        if (log.nowMs >= reportsAtMs) {
            reportsAtMs = log.nowMs + STATUS_PERIOD_MS
            // Workers reach the store no better than other callers.
            val isReached = log.nowMs >= faults.cutFromStoreUntilMs &&
                !fleet.store.faults.isDown &&
                !fleet.cuts.isCutOff(place.machine)
            if (isReached) return report(own)
        }
        if (!isListed || log.nowMs - reportedAtMs <= EXPIRES_AFTER_MS) return
        isListed = false
        fleet.store.put(SOAK_WORKERS, own.id, null)
        log.add("the entry of worker ${own.id} expires; the worker is up")
    }

    private fun report(own: SoakIncarnation) {
        reportedAtMs = log.nowMs
        isListed = true
        val entry = buildJsonObject {
            put("service", SOAK_SERVICE)
            put("address", server.address)
            put("zone", place.dataCentre)
            put("version", "v1")
            put("slots", 8)
            put("state", if (isDraining) "draining" else "ready")
            if (isDraining) put("remaining_ms", 0)
            put("cold_ms", 0)
            putJsonObject("capacity") {
                put("cpu", millicores)
                put("mem_mb", MEMORY_MIB)
                put("gpus", 0)
            }
            putJsonArray("labels") { labels.forEach { add(it) } }
            put("born", own.bornWallMs)
            put("clock_ms", own.clockMs)
            put("seq", ++seq)
        }
        fleet.store.put(SOAK_WORKERS, own.id, entry.toString())
    }

    private fun serve(request: SoakRequest): SoakReply? {
        if (request.method != "POST") return SoakReply(200)
        val own = incarnation ?: return null
        if (log.nowMs < faults.requestsLostUntilMs) return null
        if (!isFor(own, request)) return SoakReply(MISDIRECTED)
        val call = Json.parseToJsonElement(request.body.decodeToString()).jsonObject
        val term = call.number("fence_token")
        fleet.newestTerm = maxOf(fleet.newestTerm, term)
        val isStart = request.path == "/run-start"
        if (isSilentTo(term) || isStart && random.nextDouble() < faults.lostStartShare) {
            request.connection.isSilent = true
            if (isStart) startWithoutAnswer(own, call)
            return null
        }
        val reply = own.execute(request.path, call, isLate = false)
        if (log.nowMs < faults.answersDelayedUntilMs) Thread.sleep(random.nextLong(faults.maxAnswerDelayMs))
        return reply.takeUnless { isSilentTo(term) || log.nowMs < faults.answersLostUntilMs }
    }

    private fun isFor(own: SoakIncarnation, request: SoakRequest) =
        request.headers["bronzeshore-target-instance"].let { it == null || it == own.id }

    private fun isSilentTo(term: Long) =
        log.nowMs < faults.silentUntilMs && term in faults.silentTerms || cutForMs(term) > 0

    /** Time for which no data passes between the worker and the leader of [term]. */
    private fun cutForMs(term: Long): Long =
        fleet.store.terms.leaderOf(term)?.let { fleet.cuts.apartForMs(place.machine, it) } ?: 0

    private fun startWithoutAnswer(own: SoakIncarnation, call: JsonObject) {
        val cutForMs = maxOf(0, faults.silentUntilMs - log.nowMs, cutForMs(call.number("fence_token")))
        val isLate = cutForMs > 0 || random.nextDouble() < faults.lateStartShare
        if (isLate) Thread.sleep(cutForMs + random.nextLong(300, 4_000))
        if (incarnation === own) own.execute("/run-start", call, isLate)
    }
}
