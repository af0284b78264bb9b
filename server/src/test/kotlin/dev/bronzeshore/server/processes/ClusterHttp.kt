/** HTTP client with timeouts for the tests. */
package dev.bronzeshore.server.processes

import dev.bronzeshore.core.WireJson
import dev.bronzeshore.server.FaultBody
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture

internal const val HTTP_OK = 200
private const val CALL_TIMEOUT_SECONDS = 15L
private const val CONNECT_TIMEOUT_SECONDS = 5L

internal class HttpCall(
    val method: String,
    val url: String,
    val body: ByteArray = ByteArray(0),
    val token: String? = null,
    val headers: Map<String, String> = emptyMap(),
)

/** [status] is 0 if the connection broke before the response was complete; [text] then holds the cause. */
internal data class HttpReply(val status: Int, val text: String) {
    val fault: FaultBody? by lazy {
        runCatching { WireJson.decodeFromString(FaultBody.serializer(), text) }.getOrNull()
    }
}

internal class ClusterHttp {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(CONNECT_TIMEOUT_SECONDS)).build()

    fun send(call: HttpCall): HttpReply = sendAsync(call).get()

    fun sendAsync(call: HttpCall): CompletableFuture<HttpReply> {
        val request = HttpRequest.newBuilder(URI(call.url)).timeout(Duration.ofSeconds(CALL_TIMEOUT_SECONDS))
            .method(call.method, HttpRequest.BodyPublishers.ofByteArray(call.body))
        call.token?.let { request.header("Authorization", "Bearer $it") }
        call.headers.forEach { (name, value) -> request.header(name, value) }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
            .thenApply { HttpReply(it.statusCode(), it.body()) }
            .exceptionally { failure ->
                val cause = failure.cause ?: failure
                if (cause is IOException) HttpReply(0, "$cause") else throw failure
            }
    }
}
