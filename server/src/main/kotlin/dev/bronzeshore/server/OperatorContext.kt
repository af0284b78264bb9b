/** Dependencies of the routes for operators. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.bronzeshore.audit.AuditReader
import dev.bronzeshore.core.ClockMs
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.ProcessStatus
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.VmStatus
import dev.bronzeshore.plans.ConfigurationWriter
import io.ktor.server.application.ApplicationCall
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import java.security.MessageDigest
import java.util.HexFormat

/** State that changes while the process runs is passed as functions, which are called on the control thread. */
internal class OperatorContext(
    val clock: ClockMs,
    private val control: CoroutineDispatcher,
    tokenSha256: String,
    val configuration: () -> Configuration,
    val writer: ConfigurationWriter,
    val audit: AuditReader,
    val jobs: JobRouter,
    val vms: () -> List<VmStatus>,
    val status: () -> ProcessStatus,
    val metrics: ProcessMetrics,
) {
    private val tokenDigest = HexFormat.of().parseHex(tokenSha256)

    suspend fun <T> onControl(block: suspend () -> T): T = withContext(control) { block() }

    /** Compares the digest of the token in constant time. */
    fun authorize(call: ApplicationCall): Either<Fault, Unit> = call.bearerToken().flatMap { token ->
        val digest = MessageDigest.getInstance("SHA-256").digest(token.toByteArray())
        if (MessageDigest.isEqual(digest, tokenDigest)) {
            Unit.right()
        } else {
            Fault(ResultCode.UNAUTHORIZED, "The operators' token is wrong.").left()
        }
    }
}
