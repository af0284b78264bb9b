package dev.bronzeshore.standins

import dev.bronzeshore.core.Condition
import dev.bronzeshore.core.Put
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Row
import dev.bronzeshore.core.Transaction
import dev.bronzeshore.core.Vm
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.WorkerReport
import dev.bronzeshore.core.WriteResult
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.head
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import kotlinx.serialization.encodeToString
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.io.IOException
import kotlin.random.Random

/** Guards against HTTP servers that buffer bodies, ignore injected faults or publish wrong addresses. */
@Timeout(60)
class PlatformTest {
    private var nowMs = 1_000L
    private val platform = Platform(
        PlatformPlan(
            ServerPlan(),
            ServerPlan(),
            ServerPlan(),
            listOf(WorkerPlan("w", "a", "r", Resources(1_000, 1_000), count = 2)),
            listOf(EndpointPlan("e", "s", "a", "r", slots = 1)),
        ),
    ) { nowMs }
    private val table = "http://${platform.addresses.table}"
    private val vmList = "http://${platform.addresses.vmList}"
    private val objects = "http://${platform.addresses.objectStore}"
    private val endpoint = addressOf("e")
    private val client = HttpClient(CIO) { engine { requestTimeout = 0 } }

    @AfterEach
    fun stop() {
        client.close()
        platform.close()
    }

    @Test
    fun `an endpoint streams a body back without buffering it`(): Unit = runBlocking {
        // Each chunk is sent only after the previous one came back, so an endpoint that waits for the complete body
        // would never respond.
        val chunk = Random(1).nextBytes(CHUNK_BYTES)
        val returned = Channel<Unit>(Channel.UNLIMITED)
        val body = object : OutgoingContent.WriteChannelContent() {
            override val contentLength = CHUNKS * CHUNK_BYTES.toLong()

            override suspend fun writeTo(channel: ByteWriteChannel) = repeat(CHUNKS) {
                if (it > 0) returned.receive()
                channel.writeFully(chunk)
                channel.flush()
            }
        }
        client.preparePost("$endpoint/any/path") {
            header(REQUEST_HEADER, "r1")
            setBody(body)
        }.execute { response ->
            assertEquals("e", response.headers[ENDPOINT_HEADER])
            assertEquals("r1", response.headers[REQUEST_HEADER])
            val channel = response.bodyAsChannel()
            val received = ByteArray(CHUNK_BYTES)
            repeat(CHUNKS) {
                channel.readFully(received)
                assertArrayEquals(chunk, received)
                returned.send(Unit)
            }
        }
        val record = recordsOf("e").requests.single()
        assertEquals(RequestEnding.ANSWERED, record.ending)
        assertEquals(CHUNKS * CHUNK_BYTES.toLong(), record.bodyBytes)
    }

    @Test
    fun `a request without a free slot is refused and does not run`(): Unit = runBlocking {
        val release = CompletableDeferred<Unit>()
        val slowBody = object : OutgoingContent.WriteChannelContent() {
            override suspend fun writeTo(channel: ByteWriteChannel) = release.await()
        }
        val pending = async { client.post(endpoint) { setBody(slowBody) } }
        while (recordsOf("e").requests.isEmpty()) yield()
        val refused = client.post(endpoint) { setBody("x") }
        assertEquals(HttpStatusCode.ServiceUnavailable, refused.status)
        assertEquals("true", refused.headers[NOT_RUN_HEADER])
        release.complete(Unit)
        assertEquals(HttpStatusCode.OK, pending.await().status)
        assertEquals(
            listOf(RequestEnding.ANSWERED, RequestEnding.REFUSED_NO_SLOT),
            recordsOf("e").requests.map { it.ending },
        )
        // A slot is released as soon as the response is complete, so consecutive requests all run.
        repeat(50) { assertEquals("x", client.post(endpoint) { setBody("x") }.bodyAsText()) }
        assertEquals(HttpStatusCode.OK, client.head(endpoint).status)
        assertEquals(1, recordsOf("e").highestSlotsInUse)
    }

    @Test
    fun `a failing endpoint responds with 500 after the request ran`(): Unit = runBlocking {
        platform.setFaults("e", Faults(failRequests = true))
        assertEquals(HttpStatusCode.InternalServerError, client.post(endpoint) { setBody("x") }.status)
        assertEquals(RequestEnding.FAILED, recordsOf("e").requests.single().ending)
    }

    @Test
    fun `a dropped response closes the connection after the write was applied`(): Unit = runBlocking {
        setFaults(table, Faults(dropAnswerEvery = 2))
        assertEquals(WriteResult.Applied, WireJson.decodeFromString<WriteResult>(write().bodyAsText()))
        assertTrue(isClosed { write() })
        val row = WireJson.decodeFromString<Row>(client.get("$table/rows?key=k").bodyAsText())
        assertEquals(2, row.version)
        assertEquals(CallCounts(reads = 1, writes = 2, rowsWritten = 2), recordsOf("table").calls)

        platform.setFaults("e", Faults(dropAnswerEvery = 1))
        assertTrue(isClosed { client.post(endpoint) { setBody("x") } })
        assertEquals(RequestEnding.ANSWER_DROPPED, recordsOf("e").requests.single().ending)
    }

    @Test
    fun `a server that is down applies no call and can be brought up again`(): Unit = runBlocking {
        setFaults(table, Faults(down = DownMode.CLOSE_CONNECTION))
        assertTrue(isClosed { write() })
        setFaults(table, Faults(down = DownMode.STATUS_503))
        assertEquals(HttpStatusCode.ServiceUnavailable, write().status)
        setFaults(table, Faults())
        assertEquals(HttpStatusCode.NotFound, client.get("$table/rows?key=k").status)
    }

    @Test
    fun `a paused server suspends calls until it is resumed`(): Unit = runBlocking {
        setFaults(table, Faults(paused = true))
        val pending = async { write() }
        while (recordsOf("table").calls.writes == 0L) yield()
        assertFalse(pending.isCompleted)
        setFaults(table, Faults())
        assertEquals(HttpStatusCode.OK, pending.await().status)
    }

    @Test
    fun `the VM list contains the actual ports and lags by the injected time`(): Unit = runBlocking {
        val ids = listOf("w-1", "w-2", "e")
        assertEquals(ids, listedVms().map { it.id })
        listedVms().take(2).forEach {
            val report = client.post("http://${it.address}/commands") { setBody("{}") }.bodyAsText()
            assertEquals(it.id, WireJson.decodeFromString<WorkerReport>(report).workerId)
        }
        nowMs += 500
        client.delete("$vmList/stand-in/vms/w-1")
        assertEquals(ids - "w-1", listedVms().map { it.id })
        setFaults(vmList, Faults(vmListLagMs = 300))
        assertEquals(ids, listedVms().map { it.id })
        nowMs += 300
        assertEquals(ids - "w-1", listedVms().map { it.id })
    }

    @Test
    fun `an object is returned as it was stored`(): Unit = runBlocking {
        val bytes = Random(2).nextBytes(100_000)
        assertEquals(HttpStatusCode.NoContent, client.put("$objects/objects/a/b") { setBody(bytes) }.status)
        assertArrayEquals(bytes, client.get("$objects/objects/a/b").bodyAsBytes())
        assertEquals(HttpStatusCode.NotFound, client.get("$objects/objects/a").status)
    }

    @Test
    fun `malformed bodies and unknown faults are refused`(): Unit = runBlocking {
        assertEquals(HttpStatusCode.BadRequest, client.post("$table/transactions") { setBody("{") }.status)
        val faults = client.post("$table/stand-in/faults") { setBody("""{"dropAnswersEvery":1}""") }
        assertEquals(HttpStatusCode.BadRequest, faults.status)
    }

    private suspend fun write(): HttpResponse {
        val transaction = Transaction("w", emptyList<Condition>(), listOf(Put("k", "v")))
        return client.post("$table/transactions") { setBody(WireJson.encodeToString(transaction)) }
    }

    private suspend fun setFaults(address: String, faults: Faults) {
        client.post("$address/stand-in/faults") { setBody(WireJson.encodeToString(faults)) }
        assertEquals(faults, WireJson.decodeFromString<Faults>(client.get("$address/stand-in/faults").bodyAsText()))
    }

    private suspend fun isClosed(call: suspend () -> Unit): Boolean = try {
        call()
        false
    } catch (e: IOException) {
        true
    }

    private suspend fun listedVms(): List<Vm> = WireJson.decodeFromString(client.get("$vmList/vms").bodyAsText())

    private fun addressOf(id: String): String = "http://" + platform.addresses.vms.first { it.id == id }.address

    private fun recordsOf(id: String): ServerRecords = platform.records().first { it.id == id }

    private companion object {
        const val CHUNKS = 80
        const val CHUNK_BYTES = 1024 * 1024
    }
}
