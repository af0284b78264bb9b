/** Implementation of [HttpCall] with the Ktor client. */
package dev.bronzeshore.ctl

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

private const val CONNECT_TIMEOUT_MS = 3_000L

// Longer than the server itself tries to resolve a write whose response was lost.
private const val REQUEST_TIMEOUT_MS = 20_000L

/** Sends one request with a new client: commands send few requests and keep no connection open between them. */
internal suspend fun ktorHttpCall(request: HttpRequest): HttpResult = newClient().use { client ->
    try {
        val response =
            client.request(request.url) {
                method = HttpMethod.parse(request.method)
                request.headers.forEach { (name, value) -> header(name, value) }
                request.body?.let {
                    contentType(ContentType.Application.Json)
                    setBody(it)
                }
            }
        HttpResult.Answer(response.status.value, response.bodyAsText())
    } catch (e: ConnectException) {
        HttpResult.NotSent(e.message.orEmpty())
    } catch (e: ConnectTimeoutException) {
        HttpResult.NotSent(e.message.orEmpty())
    } catch (e: UnresolvedAddressException) {
        HttpResult.NotSent("the host name cannot be resolved")
    } catch (e: IOException) {
        HttpResult.NoAnswer(e.message ?: e.javaClass.simpleName)
    }
}

private fun newClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    followRedirects = false
    install(HttpTimeout) {
        connectTimeoutMillis = CONNECT_TIMEOUT_MS
        requestTimeoutMillis = REQUEST_TIMEOUT_MS
    }
}
