/** HTTP routes for operators, served on a separate port. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.ApplyAnswer
import dev.bronzeshore.core.ApplyRequest
import dev.bronzeshore.core.AuditEntry
import dev.bronzeshore.core.Configuration
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobExplanation
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.MarkRequest
import dev.bronzeshore.core.ProcessStatus
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.VmStatus
import dev.bronzeshore.core.isFinal
import dev.bronzeshore.plans.DocumentReader
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.ListSerializer

private const val DEFAULT_LIST_LIMIT = 100
private const val MAX_LIST_LIMIT = 10_000
private val applyReader = DocumentReader(ApplyRequest.serializer())
private val markReader = DocumentReader(MarkRequest.serializer())

internal fun Route.operatorRoutes(process: OperatorContext) {
    configurationRoutes(process)
    vmRoutes(process)
    operatorJobRoutes(process)
    get("/v1/status") {
        process.authorizeAndRespond(call, ProcessStatus.serializer()) { process.onControl { process.status() }.right() }
    }
    get("/v1/audit") {
        process.authorizeAndRespond(call, ListSerializer(AuditEntry.serializer())) {
            call.limit().flatMap { limit -> process.audit.read(call.parameters["after"].orEmpty(), limit) }
        }
    }
    get("/metrics") { call.respondBytes(process.metrics.scrape()) }
}

private fun Route.configurationRoutes(process: OperatorContext) {
    get("/v1/configuration") {
        process.authorizeAndRespond(call, Configuration.serializer()) {
            process.onControl { process.configuration() }.right()
        }
    }
    post("/v1/configuration") {
        process.authorizeAndRespond(call, ApplyAnswer.serializer()) {
            call.readBody(applyReader).flatMap { request -> process.onControl { process.writer.apply(request) } }
        }
    }
}

private fun Route.vmRoutes(process: OperatorContext) {
    get("/v1/vms") {
        process.authorizeAndRespond(call, ListSerializer(VmStatus.serializer())) {
            process.onControl { process.vms() }.right()
        }
    }
    post("/v1/vms/{id}/mark") {
        process.authorizeAndRespond(call, ApplyAnswer.serializer()) {
            call.readBody(markReader).flatMap { request ->
                process.onControl { process.writer.mark(call.pathId(), request) }
            }
        }
    }
}

private fun Route.operatorJobRoutes(process: OperatorContext) {
    post("/v1/jobs") {
        process.authorizeAndRespond(call, JobView.serializer(), HttpStatusCode.Accepted) {
            either {
                val plan = call.knownPlan(process.onControl { process.configuration() }).bind()
                val key = call.idempotencyKey().bind()
                val submission = call.readBody(submissionReader).bind()
                JobView(process.onControl { process.jobs.submit(plan, key, submission) }.bind())
            }
        }
    }
    get("/v1/jobs") {
        process.authorizeAndRespond(call, ListSerializer(JobView.serializer())) {
            call.limit().map { limit -> process.onControl { process.jobs.list(call.parameters["plan"], limit) } }
        }
    }
    get("/v1/jobs/{id}") {
        process.authorizeAndRespond(call, JobView.serializer()) {
            process.onControl { process.jobs.view(call.pathId(), plan = null) }
        }
    }
    delete("/v1/jobs/{id}") {
        process.authorizeAndRespond(call, JobView.serializer()) {
            process.onControl { process.jobs.cancel(call.pathId(), plan = null) }
        }
    }
    get("/v1/jobs/{id}/why") {
        process.authorizeAndRespond(call, JobExplanation.serializer()) {
            process.onControl { process.jobs.view(call.pathId(), plan = null) }.map(::explain)
        }
    }
}

private fun explain(view: JobView): JobExplanation {
    val record = view.record
    val reason = when {
        record.state.isFinal -> "It ended as ${record.state}: ${record.code.meaning}"
        view.running.isNotEmpty() -> "It runs on ${view.running.joinToString { it.workerId }}."
        else -> view.waitReason ?: "It is about to start."
    }
    return JobExplanation(record.jobId, reason)
}

private suspend fun <T> OperatorContext.authorizeAndRespond(
    call: ApplicationCall,
    serializer: KSerializer<T>,
    status: HttpStatusCode = HttpStatusCode.OK,
    block: suspend () -> Either<Fault, T>,
) {
    val result = authorize(call).flatMap { block() }
    call.respondEither(result, serializer, clock(), status)
}

private fun ApplicationCall.pathId(): String = parameters["id"].orEmpty()

private fun ApplicationCall.limit(): Either<Fault, Int> {
    val text = parameters["limit"] ?: return DEFAULT_LIST_LIMIT.right()
    return text.toIntOrNull()?.takeIf { it in 1..MAX_LIST_LIMIT }?.right()
        ?: Fault(ResultCode.INVALID_VALUE, "The limit \"$text\" is not valid.", "limit", "1 to $MAX_LIST_LIMIT").left()
}

private fun ApplicationCall.knownPlan(configuration: Configuration): Either<Fault, String> {
    val name = parameters["plan"].orEmpty()
    return configuration.plans.find { it.name == name }?.name?.right()
        ?: Fault(ResultCode.UNKNOWN_PLAN, "There is no plan \"$name\".", "plan", "a plan of the current list").left()
}
