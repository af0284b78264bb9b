/** Planned restarts, marks and configuration changes, with real processes. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.VmMark
import dev.bronzeshore.core.WireJson
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import java.util.concurrent.Callable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

private const val LEAVING_BOUND_MS = 3_000L
private const val IN_FORCE_BOUND_MS = 6_000L
private const val WATCH_MS = 3_000L
private const val STOP_TIMEOUT_MS = 60_000L
private const val READY_TIMEOUT_MS = 40_000L
private const val HTTP_CONFLICT = 409

/** The balancer asks each second; a stopping process answers it for 2 s. */
private const val BALANCER_MS = 1_200L
private const val UPLOAD_MS = 5_000L
private const val HTTP_SERVICE_UNAVAILABLE = 503

internal class PlannedChangeProcessTest : ClusterTest(size = 3) {
    /** Guards against operators who overwrite each other's change without noticing. */
    @Test
    @Order(1)
    fun `one of three racing operators wins and the others are told both versions`() {
        val expected = checkNotNull(cluster.entries.first().status()).configurationVersion
        val threads = Executors.newFixedThreadPool(cluster.entries.size)
        val replies = try {
            val calls = cluster.entries.mapIndexed { index, entry ->
                Callable { entry.apply(request(expected, weight = index + 2)) }
            }
            threads.invokeAll(calls).map { it.get() }
        } finally {
            threads.shutdownNow()
        }
        val (won, lost) = replies.partition { it.status == HTTP_OK }
        assertEquals(1, won.size, "$replies")
        lost.forEach { reply ->
            assertEquals(HTTP_CONFLICT, reply.status, reply.text)
            assertEquals(ResultCode.VERSION_CONFLICT, reply.fault?.code)
            val named = Regex("\\d+").findAll(checkNotNull(reply.fault).message).map { it.value.toLong() }.toSet()
            assertTrue(named.containsAll(setOf(expected, expected + 1)), reply.text)
        }
    }

    /** Guards against processes that keep an old configuration or fall back to it. */
    @Test
    @Order(2)
    fun `a change is in force in every process in time and never goes back`() {
        val expected = checkNotNull(cluster.entries.first().status()).configurationVersion
        val reply = cluster.entries.last().apply(request(expected, weight = 9))
        assertEquals(HTTP_OK, reply.status, reply.text)
        val version = WireJson.decodeFromString(ApplyAnswer.serializer(), reply.text).version
        val acceptedAtMs = System.currentTimeMillis()
        awaitUntil("version $version is in force", IN_FORCE_BOUND_MS) { versions().all { it >= version } }
        println("configuration: in force everywhere after ${System.currentTimeMillis() - acceptedAtMs} ms")
        val watchUntilMs = System.currentTimeMillis() + WATCH_MS
        awaitUntil("no version goes back", WATCH_MS * 3) {
            assertTrue(versions().all { it >= version }) { "${versions()}" }
            System.currentTimeMillis() > watchUntilMs
        }
    }

    /** Guards against an endpoint that gets new requests although its operators wait to take it away. */
    @Test
    @Order(3)
    fun `a leaving endpoint gets no new request after 3 s`() {
        val leaving = "booking-ridge-1"
        RequestLoad("leaving") { cluster.entries }.use { load ->
            awaitUntil("the endpoint is in use", READY_TIMEOUT_MS) { startsOn(leaving).isNotEmpty() }
            val reply = cluster.entries.first().mark(leaving, VmMark.LEAVING)
            assertEquals(HTTP_OK, reply.status, reply.text)
            val markedAtMs = System.currentTimeMillis()
            val watchUntilMs = markedAtMs + LEAVING_BOUND_MS + WATCH_MS
            awaitUntil("the time to watch is over", WATCH_MS * 4) { System.currentTimeMillis() > watchUntilMs }
            val ends = load.finish()
            val lastMs = startsOn(leaving).max() - markedAtMs
            println("leaving: last new request $lastMs ms after the mark, ${ends.size} requests")
            assertTrue(lastMs <= LEAVING_BOUND_MS) { "$lastMs" }
            assertEquals(emptyList<Any>(), violationsOf(cluster.records(), ends, jobs = null), cluster::logs)
            assertEquals(emptyList<Any>(), ends.filterNot { it.isRight }, cluster::logs)
        }
    }

    /** Guards against a planned stop that interrupts requests or leaves a data centre without slots. */
    @Test
    @Order(4)
    fun `a rolling restart causes no error`() {
        ReadyEntries(cluster).use { ready ->
            RequestLoad("rolling", ready::current).use { load ->
                cluster.entries.toList().forEach { former ->
                    assertTrue(former.child.stop(STOP_TIMEOUT_MS), cluster::logs)
                    val started = cluster.replace(former)
                    awaitUntil("${started.id} is ready again", READY_TIMEOUT_MS) { started in ready.current() }
                }
                val ends = load.finish()
                val failed = ends.filterNot { it.isRight }
                println("rolling: ${ends.size} requests, ${failed.size} errors")
                assertEquals(emptyList<Any>(), violationsOf(cluster.records(), ends, jobs = null), cluster::logs)
                assertEquals(emptyList<Any>(), failed, cluster::logs)
            }
        }
    }

    /** Guards against ports that close together with the signal, while the balancer still sends requests. */
    @Test
    @Order(5)
    fun `a planned stop answers a request whose body is still arriving`() {
        val entry = cluster.entries.last()
        SlowUpload(entry.settings.callers.port).use { upload ->
            upload.sendFirstHalf()
            val stopping = CompletableFuture.supplyAsync { entry.child.stop(STOP_TIMEOUT_MS) }
            awaitUntil("the process says that it is not ready", WATCH_MS) {
                entry.readyStatus() == HTTP_SERVICE_UNAVAILABLE
            }
            val signalledAtMs = System.currentTimeMillis()
            awaitUntil("the balancer has had time to notice", WATCH_MS) {
                assertEquals(HTTP_SERVICE_UNAVAILABLE, entry.readyStatus(), cluster::logs)
                System.currentTimeMillis() > signalledAtMs + BALANCER_MS
            }
            awaitUntil("the upload is slower than that", UPLOAD_MS * 2) {
                System.currentTimeMillis() > signalledAtMs + UPLOAD_MS
            }
            assertArrayEquals(upload.body, upload.finish())
            assertTrue(stopping.get(), cluster::logs)
        }
    }

    private fun request(expectedVersion: Long, weight: Int) =
        ApplyRequest(expectedVersion, clusterPlans, clusterAllowances(weight), operator = "operator-$weight")

    private fun versions(): List<Long> = cluster.entries.map { it.status()?.configurationVersion ?: -1 }

    private fun startsOn(endpointId: String): List<Long> =
        cluster.records().filter { it.id == endpointId }.flatMap { it.requests }.map { it.startedAtMs }
}
