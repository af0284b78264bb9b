package dev.bronzeshore.ctl

import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** Guards against sent requests that are reported as not sent, and against requests that are sent twice. */
class KtorHttpCallTest {
    private val loopback = InetAddress.getLoopbackAddress()

    @Test
    fun `status and body of the response are returned, headers and body of the request are sent`() {
        val server = HttpServer.create(InetSocketAddress(loopback, 0), 0)
        server.createContext("/") { exchange ->
            val text = exchange.requestHeaders.getFirst("Authorization") + exchange.requestBody.reader().readText()
            exchange.sendResponseHeaders(409, text.length.toLong())
            exchange.responseBody.use { it.write(text.toByteArray()) }
        }
        server.start()
        try {
            val url = "http://127.0.0.1:${server.address.port}/v1/configuration"
            val request = HttpRequest("POST", url, mapOf("Authorization" to "Bearer x"), "{}")
            assertEquals(HttpResult.Answer(409, "Bearer x{}"), runBlocking { ktorHttpCall(request) })
        } finally {
            server.stop(0)
        }
    }

    @Test
    fun `a refused connection is reported as a request that was not sent`() {
        val port = ServerSocket(0, 1, loopback).use { it.localPort }
        val result = runBlocking { ktorHttpCall(HttpRequest("GET", "http://127.0.0.1:$port/v1/status")) }
        assertInstanceOf(HttpResult.NotSent::class.java, result)
    }

    @Test
    fun `a connection that closes after the request is reported as no response and is not retried`() {
        var connections = 0
        ServerSocket(0, 5, loopback).use { socket ->
            val acceptor =
                thread {
                    runCatching {
                        while (true) {
                            socket.accept().use { it.getInputStream().read(ByteArray(64)) }
                            connections++
                        }
                    }
                }
            val request = HttpRequest("DELETE", "http://127.0.0.1:${socket.localPort}/v1/jobs/j")
            assertInstanceOf(HttpResult.NoAnswer::class.java, runBlocking { ktorHttpCall(request) })
            socket.close()
            acceptor.join()
        }
        assertEquals(1, connections)
    }
}
