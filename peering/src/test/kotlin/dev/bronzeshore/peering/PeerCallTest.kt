package dev.bronzeshore.peering

import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ResultCode
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.serializer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.Socket

class PeerCallTest {
    private val scope = CoroutineScope(Dispatchers.IO + SupervisorJob())
    private val selector = SelectorManager(Dispatchers.IO)
    private val clock = System::currentTimeMillis
    private val double = CallType("double", Long.serializer(), Long.serializer())
    private val refuse = CallType("refuse", Long.serializer(), Long.serializer())
    private val stall = CallType("stall", Long.serializer(), Long.serializer())
    private val unknown = CallType("unknown", Long.serializer(), Long.serializer())
    private val handlers = listOf(
        handlerOf(double) { (it * 2).right() },
        handlerOf(refuse) { Fault(ResultCode.NOT_OWNER, "no").left() },
        handlerOf(stall) { awaitCancellation() },
    )

    private suspend fun startServer() = PeerServer(selector, clock, handlers).start("127.0.0.1", 0, scope)

    @AfterEach
    fun close() {
        scope.cancel()
        selector.close()
    }

    /** Guards against replies that are delivered to the wrong call on a shared connection. */
    @Test
    fun `each of 500 concurrent calls gets its own reply`() = runBlocking {
        val address = "127.0.0.1:${startServer()}"
        val client = PeerClient(selector, clock, scope)
        val replies = (1L..500L).map { async { client.call(address, double, it, clock() + TIMEOUT_MS).getOrNull() } }
        assertEquals((1L..500L).map { it * 2 }, replies.awaitAll())
    }

    @Test
    fun `a failed call reports its cause`() = runBlocking {
        class Case(val name: String, val type: CallType<Long, Long>, val timeoutMs: Long, val code: ResultCode)
        val address = "127.0.0.1:${startServer()}"
        val client = PeerClient(selector, clock, scope)
        listOf(
            Case("refused by the handler", refuse, TIMEOUT_MS, ResultCode.NOT_OWNER),
            Case("no such call", unknown, TIMEOUT_MS, ResultCode.MALFORMED_FRAME),
            Case("no reply in time", stall, 200, ResultCode.PEER_UNAVAILABLE),
        ).forEach { case ->
            val result = client.call(address, case.type, 1, clock() + case.timeoutMs)
            assertEquals(case.code, result.leftOrNull()?.code, case.name)
        }
        val unreachable = client.call("127.0.0.1:1", double, 1, clock() + TIMEOUT_MS)
        assertEquals(ResultCode.PEER_UNAVAILABLE, unreachable.leftOrNull()?.code)
    }

    /** Guards against a malformed frame that affects more than its own connection. */
    @Test
    fun `a malformed frame closes its connection and the server keeps running`() = runBlocking {
        val port = startServer()
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = TIMEOUT_MS.toInt()
            socket.getOutputStream().write(byteArrayOf(0x7f, -1, -1, -1, 1, 2, 3))
            assertEquals(-1, socket.getInputStream().read())
        }
        val client = PeerClient(selector, clock, scope)
        assertEquals(42L, client.call("127.0.0.1:$port", double, 21, clock() + TIMEOUT_MS).getOrNull())
    }

    private companion object {
        const val TIMEOUT_MS = 10_000L
    }
}
