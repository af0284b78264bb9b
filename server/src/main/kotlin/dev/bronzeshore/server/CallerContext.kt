/** Dependencies of the routes for callers. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.plans.Authenticator
import dev.bronzeshore.requests.RequestRouter
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext

/** Tokens of the configuration in force; replaced as a whole, so that readers on other threads need no lock. */
internal class CallerTokens {
    @Volatile
    private var authenticator: Authenticator? = null

    fun replace(configuration: Configuration) {
        authenticator = Authenticator(configuration.plans)
    }

    fun planOf(token: String): Either<Fault, Plan> {
        val current = authenticator ?: return Fault(ResultCode.NOT_READY, ResultCode.NOT_READY.meaning).left()
        return current.planOf(token)?.right() ?: Fault(ResultCode.UNAUTHORIZED, "The token is not known.").left()
    }
}

internal class CallerContext(
    val clock: ClockMs,
    private val control: CoroutineDispatcher,
    private val tokens: CallerTokens,
    val jobs: JobRouter,
    val requests: RequestRouter,
    val metrics: ProcessMetrics,
    val readiness: Readiness,
) {
    suspend fun <T> onControl(block: suspend () -> T): T = withContext(control) { block() }

    /** The plan of the caller's token; refused until this process has a configuration. */
    fun planOf(call: ApplicationCall): Either<Fault, Plan> = readiness.check().flatMap {
        call.bearerToken().flatMap(tokens::planOf)
    }

    fun countResponse(result: Either<Fault, Any>) = metrics.countResponse(result.fold({ it.code }, { ResultCode.OK }))
}
