/** HTTP routes with which callers submit, query and cancel jobs. */
package dev.bronzeshore.server

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import dev.bronzeshore.core.Fault
import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.PartResult
import dev.bronzeshore.core.Plan
import dev.bronzeshore.core.ResultCode
import dev.bronzeshore.core.isFinal
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.builtins.ListSerializer

private const val MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
internal const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

internal fun Route.jobRoutes(process: CallerContext) {
    post("/v1/jobs") {
        val result = either {
            val plan = process.planOf(call).bind()
            val key = call.idempotencyKey().bind()
            val submission = call.readBody(submissionReader).bind()
            process.onControl { process.jobs.submit(plan.name, key, submission) }.bind()
        }
        process.countResponse(result)
        call.respondEither(result, JobRecord.serializer(), process.clock(), HttpStatusCode.Accepted)
    }
    get("/v1/jobs/{id}") {
        val result = process.jobCall(call) { plan, id -> process.jobs.view(id, plan.name) }
        call.respondEither(result, JobView.serializer(), process.clock())
    }
    delete("/v1/jobs/{id}") {
        val result = process.jobCall(call) { plan, id -> process.jobs.cancel(id, plan.name) }
        call.respondEither(result, JobView.serializer(), process.clock())
    }
    get("/v1/jobs/{id}/result") {
        val result = process.jobCall(call) { plan, id ->
            process.jobs.view(id, plan.name)
        }.flatMap { resultOf(it.record) }
        call.respondEither(result, ListSerializer(PartResult.serializer()), process.clock())
    }
}

private suspend fun CallerContext.jobCall(
    call: ApplicationCall,
    block: suspend (plan: Plan, jobId: String) -> Either<Fault, JobView>,
): Either<Fault, JobView> = planOf(call).flatMap { plan ->
    onControl { block(plan, call.parameters["id"].orEmpty()) }
}

internal fun ApplicationCall.idempotencyKey(): Either<Fault, String> {
    val key = request.headers[IDEMPOTENCY_KEY_HEADER].orEmpty()
    return if (key.isBlank() || key.length > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
        val accepted = "1 to $MAX_IDEMPOTENCY_KEY_CHARACTERS characters"
        Fault(
            ResultCode.MISSING_FIELD,
            "The idempotency key is missing or too long.",
            IDEMPOTENCY_KEY_HEADER,
            accepted,
        ).left()
    } else {
        key.right()
    }
}

private fun resultOf(record: JobRecord): Either<Fault, List<PartResult>> = when {
    !record.state.isFinal ->
        Fault(ResultCode.JOB_NOT_ENDED, "Job ${record.jobId} is ${record.state}.", "id", "a job that has ended").left()

    record.code != ResultCode.OK -> Fault(record.code, "Job ${record.jobId} ended as ${record.state}.").left()

    else -> record.results.right()
}
