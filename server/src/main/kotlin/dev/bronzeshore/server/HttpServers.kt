/** The two HTTP servers of a process: for callers and for operators. */
package dev.bronzeshore.server

import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ListenAddress
import dev.bronzeshore.core.ResultCode
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay

/** Time within which the load balancer notices that a process is no longer ready. */
private const val LOAD_BALANCER_DELAY_MS = 2_000L
private const val STOP_GRACE_MS = 500L
private const val IDLE_TIMEOUT_SECONDS = 60

internal class HttpServers(
    settings: Settings,
    private val callers: CallerContext,
    private val operators: OperatorContext,
) {
    private val callerServer = server(settings.callers) { callerModule() }
    private val operatorServer = server(settings.operators) { operatorModule() }

    suspend fun start() {
        callerServer.startSuspend(wait = false)
        operatorServer.startSuspend(wait = false)
    }

    /** Keeps serving until the load balancer has noticed that this process is not ready. */
    suspend fun awaitLoadBalancer() = delay(LOAD_BALANCER_DELAY_MS)

    suspend fun stop() {
        callerServer.stopSuspend(gracePeriodMillis = STOP_GRACE_MS, timeoutMillis = LOAD_BALANCER_DELAY_MS)
        operatorServer.stopSuspend(gracePeriodMillis = STOP_GRACE_MS, timeoutMillis = LOAD_BALANCER_DELAY_MS)
    }

    private fun server(
        address: ListenAddress,
        module: Application.() -> Unit,
    ): EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> = embeddedServer(
        CIO,
        configure = {
            connector {
                host = address.host
                port = address.port
            }
            connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
            reuseAddress = true
        },
        module = module,
    )

    private fun Application.callerModule() {
        routing {
            healthRoutes()
            jobRoutes(callers)
            requestRoutes(callers)
            unknownRoute()
        }
    }

    private fun Application.operatorModule() {
        routing {
            healthRoutes()
            operatorRoutes(operators)
            unknownRoute()
        }
    }

    private fun Route.healthRoutes() {
        get("/healthz") { call.respondText("alive\n") }
        get("/readyz") {
            val isReady = callers.readiness.isReady
            val status = if (isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText(if (isReady) "ready\n" else "not ready\n", status = status)
        }
    }

    private fun Route.unknownRoute() = route("{...}") {
        handle {
            val fault = Fault(ResultCode.UNKNOWN_ROUTE, "There is no such path on this port.")
            call.respondFault(fault, callers.clock())
        }
    }
}
