/** Hosts many stand-ins in one process, each on its own loopback port. */
package dev.bronzeshore.standins

import dev.bronzeshore.core.StrictJson
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.application.serverConfig
import io.ktor.server.cio.CIO
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytes
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.job
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString

internal const val LOOPBACK_ADDRESS = "127.0.0.1"
private const val CONTROL_PREFIX = "/stand-in/"

/** Starts the servers on creation; [close] stops them. */
internal class StandInHost(servers: List<HostedServer>) : AutoCloseable {
    private val engine = embeddedServer(
        CIO,
        serverConfig { module { intercept(ApplicationCallPipeline.Call) { handle(call) } } },
    ) {
        servers.forEach { server ->
            connector {
                host = LOOPBACK_ADDRESS
                port = server.port
            }
        }
    }

    /** Port on which each stand-in listens. */
    val ports: Map<StandIn, Int>

    /** Stand-ins by port, completed once all ports are open; calls that arrive earlier wait for it. */
    private val standInsByPort = CompletableDeferred<Map<Int, StandIn>>()

    init {
        engine.start(wait = false)
        val openPorts = runBlocking { engine.engine.resolvedConnectors() }.map { it.port }
        val ephemeralPorts = ArrayDeque(openPorts - servers.map { it.port }.toSet())
        ports = servers.associate { it.standIn to if (it.port == 0) ephemeralPorts.removeFirst() else it.port }
        standInsByPort.complete(ports.entries.associate { it.value to it.key })
    }

    override fun close() = engine.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)

    private suspend fun handle(call: ApplicationCall) {
        val standIn = standInsByPort.await().getValue(call.request.local.localPort)
        val path = call.request.path()
        val isControl = path.startsWith(CONTROL_PREFIX)
        val response = try {
            if (isControl) handleControlCall(standIn, call, path) else handleCall(standIn, call, path)
        } catch (e: SerializationException) {
            Answer.text(HttpStatusCode.BadRequest, "malformed body: ${e.message}\n")
        }
        when (response) {
            Answer.Sent -> Unit
            Answer.ConnectionClosed -> closeConnection(call)
            is Answer.Whole -> call.respondBytes(response.bytes, response.contentType, response.status)
        }
    }

    private suspend fun handleCall(standIn: StandIn, call: ApplicationCall, path: String): Answer {
        val isRead = call.request.httpMethod == HttpMethod.Get
        if (isRead) standIn.calls.countRead() else standIn.calls.countWrite()
        return when (standIn.faultInjector.delayCall()) {
            DownMode.CLOSE_CONNECTION -> Answer.ConnectionClosed

            DownMode.STATUS_503 -> Answer.text(HttpStatusCode.ServiceUnavailable, "down\n")

            DownMode.UP -> {
                val response = standIn.handleCall(call, path)
                val isDropped = response is Answer.Whole && !isRead && standIn.faultInjector.shouldDropResponse()
                if (isDropped) Answer.ConnectionClosed else response
            }
        }
    }

    private suspend fun handleControlCall(standIn: StandIn, call: ApplicationCall, path: String): Answer {
        val method = call.request.httpMethod
        return when (path) {
            "/stand-in/faults" -> {
                if (method == HttpMethod.Post) {
                    standIn.faultInjector.replace(StrictJson.decodeFromString<Faults>(call.receiveText()))
                }
                Answer.text(HttpStatusCode.OK, StrictJson.encodeToString(standIn.faultInjector.faults))
            }

            "/stand-in/records" -> Answer.json(standIn.records())

            else -> standIn.handleControlCall(call, path)
        }
    }

    /**
     * Closes the connection of a call without sending a response.
     *
     * Ktor has no function for this: cancelling only the call leaves the connection open and the client waiting. The
     * job of a call is a child of its request's job, which is a child of the connection's job.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun closeConnection(call: ApplicationCall) {
        checkNotNull(call.coroutineContext.job.parent?.parent).cancel()
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 500L
    }
}
