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

internal const val LOOPBACK = "127.0.0.1"
private const val CONTROL_PREFIX = "/stand-in/"

/** Starts on creation; [close] stops all servers. */
internal class StandInHost(servers: List<HostedServer>) : AutoCloseable {
    private val engine = embeddedServer(
        CIO,
        serverConfig { module { intercept(ApplicationCallPipeline.Call) { serve(call) } } },
    ) {
        servers.forEach { server ->
            connector {
                host = LOOPBACK
                port = server.port
            }
        }
    }

    /** Real port of each stand-in. */
    val ports: Map<StandIn, Int>

    /** Stand-in by port, known once all ports listen; calls that arrive before wait for it. */
    private val standIns = CompletableDeferred<Map<Int, StandIn>>()

    init {
        engine.start(wait = false)
        val listening = runBlocking { engine.engine.resolvedConnectors() }.map { it.port }
        val chosen = ArrayDeque(listening - servers.map { it.port }.toSet())
        ports = servers.associate { it.standIn to if (it.port == 0) chosen.removeFirst() else it.port }
        standIns.complete(ports.entries.associate { it.value to it.key })
    }

    override fun close() = engine.stop(gracePeriodMillis = 0, timeoutMillis = STOP_MS)

    private suspend fun serve(call: ApplicationCall) {
        val standIn = standIns.await().getValue(call.request.local.localPort)
        val path = call.request.path()
        val isControl = path.startsWith(CONTROL_PREFIX)
        val answer = try {
            if (isControl) control(standIn, call, path) else answer(standIn, call, path)
        } catch (e: SerializationException) {
            Answer.text(HttpStatusCode.BadRequest, "malformed body: ${e.message}\n")
        }
        when (answer) {
            Answer.Sent -> Unit
            Answer.ConnectionClosed -> closeConnection(call)
            is Answer.Whole -> call.respondBytes(answer.bytes, answer.contentType, answer.status)
        }
    }

    private suspend fun answer(standIn: StandIn, call: ApplicationCall, path: String): Answer {
        val isRead = call.request.httpMethod == HttpMethod.Get
        if (isRead) standIn.calls.countRead() else standIn.calls.countWrite()
        return when (standIn.gate.enter()) {
            DownMode.CLOSE_CONNECTION -> Answer.ConnectionClosed

            DownMode.STATUS_503 -> Answer.text(HttpStatusCode.ServiceUnavailable, "down\n")

            DownMode.UP -> {
                val answer = standIn.answer(call, path)
                val isDropped = answer is Answer.Whole && !isRead && standIn.gate.dropsAnswer()
                if (isDropped) Answer.ConnectionClosed else answer
            }
        }
    }

    private suspend fun control(standIn: StandIn, call: ApplicationCall, path: String): Answer {
        val method = call.request.httpMethod
        return when (path) {
            "/stand-in/faults" -> {
                if (method == HttpMethod.Post) {
                    standIn.gate.replace(StrictJson.decodeFromString<Faults>(call.receiveText()))
                }
                Answer.text(HttpStatusCode.OK, StrictJson.encodeToString(standIn.gate.faults))
            }

            "/stand-in/records" -> Answer.json(standIn.records())

            else -> standIn.control(call, path)
        }
    }

    /**
     * Closes the connection of a call without an answer.
     *
     * Ktor has no function for this: ending the call alone leaves the connection open and the client waiting. The
     * job of a call is a child of its request's job, which is a child of the connection's job.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun closeConnection(call: ApplicationCall) {
        checkNotNull(call.coroutineContext.job.parent?.parent).cancel()
    }

    private companion object {
        const val STOP_MS = 500L
    }
}
