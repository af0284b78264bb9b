/** Planned restarts, marks on VMs and configuration changes, with real processes. */
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

private const val LEAVING_LIMIT_MS = 3_000L
private const val IN_FORCE_LIMIT_MS = 6_000L
private const val OBSERVATION_MS = 3_000L
private const val STOP_TIMEOUT_MS = 60_000L
private const val READY_TIMEOUT_MS = 40_000L
private const val HTTP_CONFLICT = 409

/** The load balancer polls each second; a stopping process keeps responding to it for 2 s. */
private const val LOAD_BALANCER_POLL_MS = 1_200L
private const val UPLOAD_MS = 5_000L
private const val HTTP_SERVICE_UNAVAILABLE = 503

internal class PlannedChangeProcessTest : ClusterTest(size = 3) {
    /** Guards against operators who overwrite each other's changes without noticing. */
    @Test
    @Order(1)
    fun `one of three concurrent operators wins and the others get both versions`() {
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

    /** Guards against processes that keep an old configuration or revert to it. */
    @Test
    @Order(2)
    fun `a change takes effect in every process in time and is never reverted`() {
        val expected = checkNotNull(cluster.entries.first().status()).configurationVersion
        val reply = cluster.entries.last().apply(request(expected, weight = 9))
        assertEquals(HTTP_OK, reply.status, reply.text)
        val version = WireJson.decodeFromString(ApplyAnswer.serializer(), reply.text).version
        val acceptedAtMs = System.currentTimeMillis()
        awaitUntil("version $version is in force", IN_FORCE_LIMIT_MS) { versions().all { it >= version } }
        println("configuration: in force everywhere after ${System.currentTimeMillis() - acceptedAtMs} ms")
        val observeUntilMs = System.currentTimeMillis() + OBSERVATION_MS
        awaitUntil("no version goes back", OBSERVATION_MS * 3) {
            assertTrue(versions().all { it >= version }) { "${versions()}" }
            System.currentTimeMillis() > observeUntilMs
        }
    }

    /** Guards against an endpoint that gets new requests while its operators wait to remove it. */
    @Test
    @Order(3)
    fun `a leaving endpoint gets no new request after 3 s`() {
        val leaving = "booking-ridge-1"
        RequestLoad("leaving") { cluster.entries }.use { load ->
            awaitUntil("the endpoint is in use", READY_TIMEOUT_MS) { startsOn(leaving).isNotEmpty() }
            val reply = cluster.entries.first().mark(leaving, VmMark.LEAVING)
            assertEquals(HTTP_OK, reply.status, reply.text)
            val markedAtMs = System.currentTimeMillis()
            val observeUntilMs = markedAtMs + LEAVING_LIMIT_MS + OBSERVATION_MS
            awaitUntil("the observation is over", OBSERVATION_MS * 4) { System.currentTimeMillis() > observeUntilMs }
            val results = load.finish()
            val lastMs = startsOn(leaving).max() - markedAtMs
            println("leaving: last new request $lastMs ms after the mark, ${results.size} requests")
            assertTrue(lastMs <= LEAVING_LIMIT_MS) { "$lastMs" }
            assertEquals(emptyList<Any>(), violationsOf(cluster.records(), results, jobs = null), cluster::logs)
            assertEquals(emptyList<Any>(), results.filterNot { it.isCorrect }, cluster::logs)
        }
    }

    /** Guards against a planned stop that interrupts requests or leaves a data centre without endpoint slots. */
    @Test
    @Order(4)
    fun `a rolling restart causes no error`() {
        ReadinessPoller(cluster).use { ready ->
            RequestLoad("rolling", ready::current).use { load ->
                cluster.entries.toList().forEach { former ->
                    assertTrue(former.child.stop(STOP_TIMEOUT_MS), cluster::logs)
                    val started = cluster.replace(former)
                    awaitUntil("${started.id} is ready again", READY_TIMEOUT_MS) { started in ready.current() }
                }
                val results = load.finish()
                val failed = results.filterNot { it.isCorrect }
                println("rolling: ${results.size} requests, ${failed.size} errors")
                assertEquals(emptyList<Any>(), violationsOf(cluster.records(), results, jobs = null), cluster::logs)
                assertEquals(emptyList<Any>(), failed, cluster::logs)
            }
        }
    }

    /** Guards against ports that close at the stop signal while the load balancer still sends requests. */
    @Test
    @Order(5)
    fun `a planned stop completes a request whose body is still arriving`() {
        val entry = cluster.entries.last()
        SlowUpload(entry.settings.callers.port).use { upload ->
            upload.sendFirstHalf()
            val stopping = CompletableFuture.supplyAsync { entry.child.stop(STOP_TIMEOUT_MS) }
            awaitUntil("the process reports that it is not ready", OBSERVATION_MS) {
                entry.readyStatus() == HTTP_SERVICE_UNAVAILABLE
            }
            val signalledAtMs = System.currentTimeMillis()
            awaitUntil("the load balancer has had time to notice", OBSERVATION_MS) {
                assertEquals(HTTP_SERVICE_UNAVAILABLE, entry.readyStatus(), cluster::logs)
                System.currentTimeMillis() > signalledAtMs + LOAD_BALANCER_POLL_MS
            }
            awaitUntil("the upload has taken longer than that", UPLOAD_MS * 2) {
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
