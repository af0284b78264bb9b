/** Sends one request or job of each kind in the quickstart's plans and prints the results. */
package dev.bronzeshore.standins.sample

import dev.bronzeshore.core.JobRecord
import dev.bronzeshore.core.JobState
import dev.bronzeshore.core.JobSubmission
import dev.bronzeshore.core.JobView
import dev.bronzeshore.core.Resources
import dev.bronzeshore.core.Urgency
import dev.bronzeshore.core.WireJson
import dev.bronzeshore.core.isFinal
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.util.UUID
import kotlin.system.exitProcess

private const val GIB = 1_073_741_824L
private const val POLL_PERIOD_MS = 100L
private const val RESULT_TIMEOUT_MS = 60_000L
private const val ENTRY_URL = "http://127.0.0.1:18001"

/** A row of the printed table. */
private class SampleResult(val kind: String, val place: String, val waitMs: Long?, val result: String, val ok: Boolean)

private class SampleJob(val plan: String, val submission: JobSubmission)

private val sampleJobs = listOf(
    SampleJob("utility", JobSubmission("seasonPlan", Resources(8_000, 16 * GIB), declaredRunMs = 2_000)),
    SampleJob(
        "utility",
        JobSubmission("roster", Resources(4_000, 4 * GIB), 4, allAtOnce = true, declaredRunMs = 2_000),
    ),
    SampleJob(
        "solvgaard",
        JobSubmission(
            "exposureRender",
            Resources(16_000, 32 * GIB, 1),
            urgency = Urgency.URGENT,
            declaredRunMs = 3_000,
        ),
    ),
    SampleJob("solvgaard", JobSubmission("printSheet", Resources(2_000, 2 * GIB), declaredRunMs = 1_000)),
)

private class SampleRequest(val plan: String, val kind: String, val service: String, val path: String)

private val sampleRequests = listOf(
    SampleRequest("utility", "slotReservation", "booking", "slots/12"),
    SampleRequest("solvgaard", "stockCheck", "kit", "stock/pinhole-6x6"),
)

/** Entry point; exits with status 1 if a request or a job did not succeed. */
public fun main() {
    val results = runBlocking {
        HttpClient(CIO).use { client ->
            val sample = SampleWork(client)
            coroutineScope {
                val requests = sampleRequests.map { async { sample.send(it) } }
                val jobs = sampleJobs.map { async { sample.run(it) } }
                (requests + jobs).awaitAll()
            }
        }
    }
    println("%-16s %-46s %10s  %s".format("kind", "where it ran", "waiting", "result"))
    results.forEach { row ->
        val wait = row.waitMs?.let { "$it ms" } ?: "-"
        println("%-16s %-46s %10s  %s".format(row.kind, row.place, wait, row.result))
    }
    if (results.any { !it.ok }) exitProcess(1)
}

private class SampleWork(private val client: HttpClient) {
    suspend fun send(request: SampleRequest): SampleResult {
        val deadlineMs = System.currentTimeMillis() + RESULT_TIMEOUT_MS
        while (true) {
            val body = "viewing request ${UUID.randomUUID()}"
            val response = client.post("$ENTRY_URL/v1/services/${request.service}/${request.path}") {
                authenticate(request.plan)
                header("Bronzeshore-Kind", request.kind)
                setBody(body)
            }
            val text = response.bodyAsText()
            // Right after the start, the endpoints may not be known yet; a request that did not run may be sent again.
            if (response.status.isSuccess() || System.currentTimeMillis() > deadlineMs) {
                val isComplete = response.status.isSuccess() && text == body
                val place = response.headers["Bronzeshore-Endpoint"] ?: "-"
                val result = if (isComplete) "answered" else "${response.status.value} $text"
                return SampleResult(
                    request.kind,
                    place,
                    response.headers["Bronzeshore-Wait-Ms"]?.toLong(),
                    result,
                    isComplete,
                )
            }
            delay(POLL_PERIOD_MS)
        }
    }

    suspend fun run(job: SampleJob): SampleResult {
        val key = UUID.randomUUID().toString()
        val deadlineMs = System.currentTimeMillis() + RESULT_TIMEOUT_MS
        var response = submit(job, key)
        while (!response.status.isSuccess() && System.currentTimeMillis() < deadlineMs) {
            delay(POLL_PERIOD_MS)
            response = submit(job, key)
        }
        val kind = job.submission.kind
        if (!response.status.isSuccess()) return SampleResult(kind, "-", null, response.bodyAsText(), ok = false)
        val jobId = WireJson.decodeFromString<JobRecord>(response.bodyAsText()).jobId
        return awaitEnd(job, jobId, deadlineMs)
    }

    private suspend fun submit(job: SampleJob, key: String): HttpResponse = client.post("$ENTRY_URL/v1/jobs") {
        authenticate(job.plan)
        header("Idempotency-Key", key)
        setBody(WireJson.encodeToString(job.submission))
    }

    private suspend fun awaitEnd(job: SampleJob, jobId: String, deadlineMs: Long): SampleResult {
        while (true) {
            val response = client.get("$ENTRY_URL/v1/jobs/$jobId") { authenticate(job.plan) }
            val view = if (response.status.isSuccess()) {
                WireJson.decodeFromString<JobView>(
                    response.bodyAsText(),
                )
            } else {
                null
            }
            if (view?.record?.state?.isFinal == true ||
                System.currentTimeMillis() > deadlineMs
            ) {
                return report(job, view)
            }
            delay(POLL_PERIOD_MS)
        }
    }

    private fun report(job: SampleJob, view: JobView?): SampleResult {
        val record = view?.record
        val places = record?.results.orEmpty().map { it.workerId }
        val startedAtMs = record?.results.orEmpty().minOfOrNull { it.startedAtMs }
        val waitMs = if (record != null && startedAtMs != null) startedAtMs - record.acceptedAtMs else null
        val result = record?.let { "${it.state} ${view.waitReason.orEmpty()}" } ?: "no answer"
        val ok = record?.state == JobState.SUCCEEDED
        return SampleResult(job.submission.kind, places.joinToString().ifEmpty { "-" }, waitMs, result, ok)
    }

    private fun HttpRequestBuilder.authenticate(plan: String) = bearerAuth("example-$plan-token")
}
