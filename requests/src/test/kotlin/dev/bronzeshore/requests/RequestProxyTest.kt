package dev.bronzeshore.requests

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.close
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.io.IOException
import java.util.zip.CRC32

internal class RequestProxyTest : ProxyTest() {
    @ParameterizedTest
    @ValueSource(strings = ["/", "/a%20b/c%2Fd", "/q?b=1&a=2&b=3", "/q?flag&x=%C3%B8+y", "/a//b;v=1?"])
    fun `guards against a path or query that is changed on the way`(path: String) =
        serving({ it.answer("x") }) { endpoint ->
            attempt(endpoint.address, request(path = path))
            assertEquals("GET $path HTTP/1.1", endpoint.requestLines.single())
        }

    @Test
    fun `guards against hop-by-hop headers that cross the proxy`() {
        val seen = CompletableDeferred<TestExchange>()
        val serve = { exchange: TestExchange ->
            seen.complete(exchange)
            val head = "HTTP/1.1 201 Created\r\nKeep-Alive: 5\r\nX-Own: b\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
            exchange.output.write((head + "Content-Length: 2\r\n\r\nok").toByteArray())
        }
        serving(serve) { endpoint ->
            val names = listOf("Connection" to "x-hop", "X-Hop" to "1", "TE" to "trailers", "X-Own" to "a")
            val headers = names.map { HeaderLine(it.first, it.second) }
            val answer = Answer()
            attempt(endpoint.address, request(headers = headers), answer)
            val exchange = seen.await()
            assertNull(exchange.header("X-Hop"))
            assertNull(exchange.header("TE"))
            assertEquals("a", exchange.header("X-Own"))
            assertEquals(201, answer.status)
            assertEquals("ok", answer.text.toString())
            assertEquals(
                listOf("1", "2"),
                answer.headers.filter {
                    it.name == "Set-Cookie"
                }.map { it.value.last() + "" },
            )
            assertTrue(answer.headers.none { it.name == "Keep-Alive" || it.name == "Content-Length" })
        }
    }

    @ParameterizedTest
    @CsvSource(
        "0,true",
        "0,false",
        "1,true",
        "1,false",
        "1048576,true",
        "1048576,false",
        "67108864,true",
        "67108864,false",
    )
    fun `guards against bodies that are changed or buffered, in both directions`(size: Long, chunked: Boolean) {
        val echo = { exchange: TestExchange ->
            val framing = if (chunked) "Transfer-Encoding: chunked" else "Content-Length: $size"
            exchange.output.write("HTTP/1.1 200 OK\r\n$framing\r\n\r\n".toByteArray())
            exchange.readBody { bytes, count ->
                if (chunked) exchange.output.write("${count.toString(16)}\r\n".toByteArray())
                exchange.output.write(bytes, 0, count)
                if (chunked) exchange.output.write("\r\n".toByteArray())
            }
            if (chunked) exchange.output.write("0\r\n\r\n".toByteArray())
        }
        serving(echo) { endpoint ->
            coroutineScope {
                val body = ByteChannel()
                val sent = CRC32()
                val writer = launch { writePattern(body, size, sent) }
                val answer = Answer()
                val length = if (chunked) null else size
                val end = attempt(endpoint.address, request("POST", "/", body, length), answer)
                writer.join()
                assertInstanceOf(AttemptEnd.Answered::class.java, end)
                assertEquals(size, answer.bytes)
                assertEquals(sent.value, answer.checksum.value)
            }
        }
    }

    @Test
    fun `guards against a body that is buffered while the endpoint does not read, and is not let go with the caller`() {
        val started = CompletableDeferred<Unit>()
        val checked = CompletableDeferred<Unit>()
        val seen = CompletableDeferred<Long?>()
        val serve = { exchange: TestExchange ->
            started.complete(Unit)
            runBlocking { checked.await() }
            seen.complete(exchange.readBody())
            Unit
        }
        serving(serve) { endpoint ->
            coroutineScope {
                val body = ByteChannel()
                val writer = launch { writePattern(body, 67_108_864, CRC32()) }
                val call = launch { attempt(endpoint.address, request("POST", "/", body, 67_108_864)) }
                started.await()
                // Passing depends on the writer being blocked; the kernel's buffers take a few MiB only.
                assertNull(withTimeoutOrNull(1_000) { writer.join() }, "the whole body was buffered")
                call.cancelAndJoin()
                writer.cancelAndJoin()
                checked.complete(Unit)
                assertNull(withTimeout(10_000) { seen.await() })
            }
        }
    }

    @Test
    fun `guards against an early answer that is lost because the body is still being sent`() =
        serving({ it.answer("too large", "413 Content Too Large") }) { endpoint ->
            coroutineScope {
                val body = ByteChannel()
                val writer = launch { writePattern(body, 67_108_864, CRC32()) }
                val answer = Answer()
                val end = attempt(endpoint.address, request("POST", "/", body, null), answer)
                assertEquals(413, (end as? AttemptEnd.Answered)?.status)
                assertEquals("too large", answer.text.toString())
                writer.cancelAndJoin()
            }
        }

    @Test
    fun `guards against an answer that is buffered while the caller does not read`() {
        val written = CompletableDeferred<Unit>()
        val serve = { exchange: TestExchange ->
            exchange.output.write("HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n".toByteArray())
            repeat(1_024) { exchange.output.write(ByteArray(65_536)) }
            written.complete(Unit)
            Unit
        }
        serving(serve) { endpoint ->
            val request = request()
            val stuck = CompletableDeferred<Unit>()
            val slow: Responder = { _, writeBody ->
                val channel = ByteChannel()
                stuck.complete(Unit)
                writeBody(channel)
            }
            coroutineScope {
                val body = ReplayableBody(request.body, 0, false)
                val call = launch { proxy.attempt(endpoint.address, request, body, Long.MAX_VALUE, slow) }
                stuck.await()
                assertNull(withTimeoutOrNull(1_000) { written.await() }, "the whole answer was buffered")
                call.cancelAndJoin()
            }
        }
    }

    private suspend fun writePattern(body: ByteChannel, size: Long, sent: CRC32) {
        val block = ByteArray(65_536) { (it * 31).toByte() }
        var left = size
        while (left > 0) {
            val count = minOf(left, block.size.toLong()).toInt()
            block[0] = left.toByte()
            sent.update(block, 0, count)
            body.writeFully(block, 0, count)
            left -= count
        }
        body.flushAndClose()
    }

    @Test
    fun `guards against a refused connection that is taken as a request that may have run`() = runBlocking {
        assertInstanceOf(AttemptEnd.NotSent::class.java, attempt(closedAddress(), request()))
        assertInstanceOf(AttemptEnd.NotSent::class.java, attempt("no-such-host.invalid:80", request()))
        Unit
    }

    @Test
    fun `guards against a request that is sent after its deadline`() = serving({ it.answer("late") }) { endpoint ->
        val body = ReplayableBody(ByteReadChannel.Empty, 0, false)
        val end = proxy.attempt(endpoint.address, request(), body, System.currentTimeMillis() - 1, responder(Answer()))
        assertInstanceOf(AttemptEnd.NotSent::class.java, end)
        assertEquals(0, endpoint.requestLines.size)
    }

    @Test
    fun `guards against a lost answer that is taken as not run`() = serving({ it.readBody() }) { endpoint ->
        assertInstanceOf(AttemptEnd.Unanswered::class.java, attempt(endpoint.address, request()))
        val post = request("POST", "/", ByteReadChannel("abc"), 3)
        assertInstanceOf(AttemptEnd.Unanswered::class.java, attempt(endpoint.address, post))
    }

    @ParameterizedTest
    @ValueSource(strings = ["Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"])
    fun `guards against a truncated answer that is taken as whole`(rest: String) =
        serving({ it.output.write("HTTP/1.1 200 OK\r\n$rest".toByteArray()) }) { endpoint ->
            val answer = Answer()
            assertInstanceOf(AttemptEnd.AnswerBroken::class.java, attempt(endpoint.address, request(), answer))
            assertEquals(false, answer.whole)
        }

    /** Repeated, because the failure may meet the proxy between any two steps of its copying. */
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `guards against a broken body that reaches the endpoint as a whole one or hangs the attempt`(chunked: Boolean) =
        repeat(200) { breakBody(chunked) }

    private fun breakBody(chunked: Boolean) {
        val started = CompletableDeferred<Unit>()
        val received = CompletableDeferred<Long?>()
        val serve = { exchange: TestExchange ->
            started.complete(Unit)
            received.complete(exchange.readBody())
            Unit
        }
        serving(serve) { endpoint ->
            coroutineScope {
                val body = ByteChannel()
                body.writeFully(ByteArray(1_000))
                body.flush()
                launch {
                    started.await()
                    body.close(IOException("connection reset"))
                }
                val end = attempt(endpoint.address, request("POST", "/", body, if (chunked) null else 5_000))
                assertInstanceOf(AttemptEnd.CallerGone::class.java, end)
                assertNull(withTimeout(10_000) { received.await() })
            }
        }
    }

    @Test
    fun `guards against an attempt that goes on after its caller went away`() {
        val started = CompletableDeferred<Unit>()
        val closed = CompletableDeferred<Unit>()
        val hang = { exchange: TestExchange ->
            started.complete(Unit)
            // Returns once the proxy closes the connection.
            exchange.readBody()
            closed.complete(Unit)
            Unit
        }
        serving(hang) { endpoint ->
            coroutineScope {
                val body = ByteChannel()
                val call = launch { attempt(endpoint.address, request("POST", "/", body, 10)) }
                started.await()
                call.cancelAndJoin()
                withTimeout(10_000) { closed.await() }
            }
        }
    }

    @Test
    fun `guards against a caller's broken connection that is blamed on the endpoint`() =
        serving({ it.answer("hello") }) { endpoint ->
            val failing: Responder = { _, _ -> throw IOException("broken pipe") }
            val request = request()
            val body = ReplayableBody(request.body, 0, false)
            val end = proxy.attempt(endpoint.address, request, body, Long.MAX_VALUE, failing)
            assertInstanceOf(AttemptEnd.CallerGone::class.java, end)
        }

    @Test
    fun `guards against an answer that reaches another caller`() = serving(
        { it.answer(it.requestLine.split(' ')[1]) },
    ) { endpoint ->
        coroutineScope {
            val calls = (1..200).map { caller ->
                async {
                    repeat(5) { round ->
                        val answer = Answer()
                        attempt(endpoint.address, request(path = "/$caller/$round"), answer)
                        assertEquals("/$caller/$round", answer.text.toString())
                    }
                }
            }
            calls.awaitAll()
        }
    }
}
